import type { ActiveConfiguration } from "../../configuration/active_configuration.ts";
import type { EndpointEntry } from "../../endpoints/endpoint_entry.ts";
import type { EndpointChooser } from "../../endpoints/endpoint_rate_limiter.ts";
import { expect } from "earl";
import { ManualTimer, SeededRandom } from "kelpspar-shared";
import { test } from "node:test";
import { chooseEndpoint } from "../../endpoints/choose_endpoint.ts";
import { EndpointGate } from "../../endpoints/endpoint_rate_limiter.ts";
import { EndpointLimits } from "../../endpoints/endpoint_limits.ts";
import { EndpointBook } from "../../endpoints/endpoint_registry.ts";
import { ReaderPlacement } from "../../placement/reader_placement.ts";
import { configurationOf } from "../support/configuration_of.ts";

const COLD_LIMIT = 6;
const COLD_MILLISECONDS = 3_000;
/** What the rules allow in any second at an endpoint of that limit. */
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

function createGate(
  chooser: EndpointChooser,
  options: {
    readonly limit?: number | undefined;
    readonly sharers?: number;
    readonly limits?: EndpointLimits;
    readonly random?: SeededRandom;
  },
): EndpointGate {
  return new EndpointGate({
    chooser,
    limits: options.limits ?? new EndpointLimits(),
    configuration: configure("limit" in options ? options.limit : COLD_LIMIT),
    random: options.random ?? new SeededRandom(1),
    sharers: () => options.sharers ?? 1,
  });
}

/** Endpoints chosen by one daemon that has requests without end. */
function playChoices(
  book: EndpointBook,
  gate: EndpointGate,
): readonly string[] {
  const chosen: string[] = [];
  for (let now = 0; now < 1_000; now += 10) {
    const choice = chooseEndpoint({
      endpoints: book.ofService("plain"),
      tried: new Set(),
      zone: "a",
      affinity: undefined,
      random: new SeededRandom(now),
      now,
      isOpen: (endpoint) => gate.isOpen(endpoint, now),
    });
    if (choice === undefined) continue;
    gate.chosen(choice.endpoint, now);
    choice.endpoint.inFlight++;
    chosen.push(choice.endpoint.entry.id);
  }
  return chosen;
}

// Guards against endpoints that come back cold, get all and crash.
test("a cold endpoint gets no more than it bears beside warm ones", () => {
  const book = new EndpointBook();
  book.put(entry("warm", "plain"), 0);
  book.put(entry("cold", "plain", COLD_MILLISECONDS), 0);
  const chosen = playChoices(book, createGate("daemon", {}));
  const cold = chosen.filter((id) => id === "cold").length;
  expect(chosen.length).toEqual(100);
  expect(cold > 0 && cold <= MOST_IN_A_SECOND).toEqual(true);
});

// Guards against a refusal where nobody asked for a limit.
test("a cold endpoint of a service without a limit is used like others", () => {
  const book = new EndpointBook();
  book.put(entry("cold", "plain", COLD_MILLISECONDS), 0);
  const gate = createGate("daemon", { limit: undefined });
  expect(playChoices(book, gate).length).toEqual(100);
});

// Guards against a coordinator that places a burst at endpoints just started.
test("a coordinator and 84 daemons flood no cold model endpoint", () => {
  const book = new EndpointBook();
  book.put(entry("warm", "model"), 0);
  book.put(entry("cold", "model", COLD_MILLISECONDS), 0);
  const timer = new ManualTimer();
  const configuration = configure(COLD_LIMIT);
  const gate = createGate("coordinator", {});
  const placement = new ReaderPlacement({
    configuration,
    book,
    timer,
    gate,
  });
  const random = new SeededRandom(7);
  const daemons = Array.from(
    { length: 85 },
    () => createGate("daemon", { sharers: 85, random }),
  );
  const sentAt: number[] = [];
  const cold = book.find("cold");
  if (cold === undefined) throw new Error("No endpoint");
  for (let now = 0; now < COLD_MILLISECONDS; now += 10) {
    const reader = { service: "model", promptParts: [{ id: "p", tokens: 9 }] };
    const placed = placement.place(`a${now}`, reader, []);
    const isCold = placed.type === "placed" &&
      placed.place.endpointId === "cold";
    if (isCold) sentAt.push(now);
    for (const gate of daemons) {
      if (!gate.isOpen(cold, timer.now())) continue;
      gate.chosen(cold, timer.now());
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
