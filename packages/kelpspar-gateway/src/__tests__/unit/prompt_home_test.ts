import type { EndpointEntry } from "../../endpoints/endpoint_entry.ts";
import { expect } from "earl";
import { ManualTimer, SeededRandom } from "kelpspar-shared";
import { test } from "node:test";
import { ActiveConfiguration } from "../../configuration/active_configuration.ts";
import { EndpointRateLimiter } from "../../endpoints/endpoint_rate_limiter.ts";
import { EndpointLimits } from "../../endpoints/endpoint_limits.ts";
import { EndpointRegistry } from "../../endpoints/endpoint_registry.ts";
import { ReaderPlacement } from "../../placement/reader_placement.ts";

const ENDPOINTS = 12;
const PROMPTS = 60;
const PROMPT_TOKENS = 13_000;

function entry(index: number): EndpointEntry {
  return {
    id: `i${index}`,
    bornAt: 1,
    service: "model",
    address: "10.0.0.1:80",
    zone: "abc".charAt(index % 3),
    slots: 64,
    isDraining: false,
  };
}

/** Placement of a coordinator that just started and knows no cached prompts. */
function createPlacement(): ReaderPlacement {
  const registry = new EndpointRegistry();
  for (let i = 0; i < ENDPOINTS; i++) registry.upsert(entry(i), 0);
  const configuration = new ActiveConfiguration();
  return new ReaderPlacement({
    configuration,
    registry,
    timer: new ManualTimer(),
    rateLimiter: new EndpointRateLimiter({
      chooser: "coordinator",
      limits: new EndpointLimits(),
      configuration,
      random: new SeededRandom(1),
      senderCount: () => 1,
    }),
  });
}

/** Places one request for each prompt; returns their endpoints in order. */
function placeAll(
  placement: ReaderPlacement,
  name: string,
): readonly (string | undefined)[] {
  return Array.from({ length: PROMPTS }, (_, index) => {
    const attemptId = `${name}-${index}`;
    const reader = {
      service: "model",
      promptParts: [
        { id: `prompt-${index}`, tokens: PROMPT_TOKENS },
        { id: attemptId, tokens: 500 },
      ],
    };
    const placed = placement.place(attemptId, reader, []);
    placement.recordEnd(attemptId);
    return placed.type === "placed" ? placed.place.endpointId : undefined;
  });
}

// Guards against reading prompts again after a change of the coordinator.
test("a new coordinator places prompts at the same endpoints as its predecessor", () => {
  const first = placeAll(createPlacement(), "first");
  const second = placeAll(createPlacement(), "second");
  expect(second).toEqual(first);
});

// Guards against a single endpoint that is the home of all prompts.
test("prompts are distributed over the endpoints", () => {
  const counts = new Map<string | undefined, number>();
  for (const id of placeAll(createPlacement(), "one")) {
    counts.set(id, (counts.get(id) ?? 0) + 1);
  }
  expect(Math.max(...counts.values()) <= 3 * PROMPTS / ENDPOINTS)
    .toEqual(true);
});

// Guards against results that are made in another zone than their reader's.
test("the home of an uncached prompt determines the zone of its results", () => {
  const placement = createPlacement();
  const reader = {
    service: "model",
    promptParts: [
      { id: "prompt-7", tokens: PROMPT_TOKENS },
      { id: "own", tokens: 500 },
    ],
  };
  const zone = placement.zoneOfCachedPrompt(reader);
  const placed = placement.place("a1", reader, []);
  if (placed.type !== "placed") throw new Error("Not placed");
  const index = Number(placed.place.endpointId.slice(1));
  expect(zone).toEqual(entry(index).zone);
});
