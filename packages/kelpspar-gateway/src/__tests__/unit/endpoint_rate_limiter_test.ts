import type { ActiveConfiguration } from "../../configuration/active_configuration.ts";
import type { EndpointEntry } from "../../endpoints/endpoint_entry.ts";
import type { EndpointChooser } from "../../endpoints/endpoint_rate_limiter.ts";
import { expect } from "earl";
import { ManualTimer, SeededRandom } from "kelpspar-shared";
import { test } from "node:test";
import { chooseEndpoint } from "../../endpoints/choose_endpoint.ts";
import { EndpointRateLimiter } from "../../endpoints/endpoint_rate_limiter.ts";
import { EndpointLimits } from "../../endpoints/endpoint_limits.ts";
import { EndpointRegistry } from "../../endpoints/endpoint_registry.ts";
import { ReaderPlacement } from "../../placement/reader_placement.ts";
import { configurationOf } from "../support/configuration_of.ts";

const COLD_LIMIT = 6;
const COLD_MILLISECONDS = 3_000;
/** Requests that an endpoint with that limit may get in any second. */
const MOST_IN_A_SECOND = 1.5 * COLD_LIMIT + 5;

function configure(limit: number | undefined): ActiveConfiguration {
  return configurationOf([
    {
      name: "model",
      pieces: undefined,
      engineSlots: 64,
      coldRequestsPerSecond: limit,
    },
    {
      name: "plain",
      pieces: undefined,
      engineSlots: undefined,
      coldRequestsPerSecond: limit,
    },
  ]);
}

function entry(id: string, service: string, cold = 0): EndpointEntry {
  return {
    id,
    bornAt: 1,
    service,
    address: "10.0.0.1:80",
    zone: "a",
    slots: 64,
    isDraining: false,
    coldMilliseconds: cold,
  };
}

function createRateLimiter(
  chooser: EndpointChooser,
  options: {
    readonly limit?: number | undefined;
    readonly senderCount?: number;
    readonly limits?: EndpointLimits;
    readonly random?: SeededRandom;
  },
): EndpointRateLimiter {
  return new EndpointRateLimiter({
    chooser,
    limits: options.limits ?? new EndpointLimits(),
    configuration: configure("limit" in options ? options.limit : COLD_LIMIT),
    random: options.random ?? new SeededRandom(1),
    senderCount: () => options.senderCount ?? 1,
  });
}

/** Endpoints chosen by one daemon with an unlimited supply of requests. */
function playChoices(
  registry: EndpointRegistry,
  rateLimiter: EndpointRateLimiter,
): readonly string[] {
  const chosen: string[] = [];
  for (let now = 0; now < 1_000; now += 10) {
    const choice = chooseEndpoint({
      endpoints: registry.availableFor("plain"),
      tried: new Set(),
      zone: "a",
      affinity: undefined,
      random: new SeededRandom(now),
      now,
      isWithinLimit: (endpoint) => rateLimiter.isWithinLimit(endpoint, now),
    });
    if (choice === undefined) continue;
    rateLimiter.recordRequest(choice.endpoint, now);
    choice.endpoint.inFlight++;
    chosen.push(choice.endpoint.entry.id);
  }
  return chosen;
}

// Guards against cold endpoints that get all requests and crash.
test("a cold endpoint next to warm ones gets no more than its limit", () => {
  const registry = new EndpointRegistry();
  registry.upsert(entry("warm", "plain"), 0);
  registry.upsert(entry("cold", "plain", COLD_MILLISECONDS), 0);
  const chosen = playChoices(registry, createRateLimiter("daemon", {}));
  const cold = chosen.filter((id) => id === "cold").length;
  expect(chosen.length).toEqual(100);
  expect(cold > 0 && cold <= MOST_IN_A_SECOND).toEqual(true);
});

// Guards against refusals where no limit is configured.
test("a cold endpoint of a service without a limit is used like any other", () => {
  const registry = new EndpointRegistry();
  registry.upsert(entry("cold", "plain", COLD_MILLISECONDS), 0);
  const rateLimiter = createRateLimiter("daemon", { limit: undefined });
  expect(playChoices(registry, rateLimiter).length).toEqual(100);
});

// Guards against a coordinator that places a burst at endpoints that have just
// started.
test("a coordinator and 84 daemons don't overload a cold model endpoint", () => {
  const registry = new EndpointRegistry();
  registry.upsert(entry("warm", "model"), 0);
  registry.upsert(entry("cold", "model", COLD_MILLISECONDS), 0);
  const timer = new ManualTimer();
  const configuration = configure(COLD_LIMIT);
  const rateLimiter = createRateLimiter("coordinator", {});
  const placement = new ReaderPlacement({
    configuration,
    registry,
    timer,
    rateLimiter,
  });
  const random = new SeededRandom(7);
  const daemons = Array.from(
    { length: 85 },
    () => createRateLimiter("daemon", { senderCount: 85, random }),
  );
  const sentAt: number[] = [];
  const cold = registry.find("cold");
  if (cold === undefined) throw new Error("No endpoint");
  for (let now = 0; now < COLD_MILLISECONDS; now += 10) {
    const reader = { service: "model", promptParts: [{ id: "p", tokens: 9 }] };
    const placed = placement.place(`a${now}`, reader, []);
    const isCold = placed.type === "placed" &&
      placed.place.endpointId === "cold";
    if (isCold) sentAt.push(now);
    for (const rateLimiter of daemons) {
      if (!rateLimiter.isWithinLimit(cold, timer.now())) continue;
      rateLimiter.recordRequest(cold, timer.now());
      sentAt.push(now);
    }
    timer.jump(10);
  }
  const most = Math.max(
    ...sentAt.map((from) =>
      sentAt.filter((at) => at >= from && at < from + 1_000).length
    ),
  );
  expect(most > 2 && most <= MOST_IN_A_SECOND).toEqual(true);
});
