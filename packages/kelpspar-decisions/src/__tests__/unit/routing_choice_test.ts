import type { CallOutcome, ChooseOptions } from "../../routing/mod.ts";
import type { LoadReport } from "kelpspar-shared";
import { test } from "node:test";
import { expect } from "earl";
import { SeededRandom } from "kelpspar-shared";
import { chooseEndpoint, EndpointRegistry } from "../../routing/mod.ts";

const random = new SeededRandom(1);
let sequence = 0;

type Rows = Record<
  string,
  { zone?: string; incarnation?: string; state?: "live" | "leaving" }
>;

function list(registry: EndpointRegistry, rows: Rows): void {
  const place = { address: "127.0.0.1", port: 1, service: "s" };
  registry.replaceList(
    Object.entries(rows).map(([endpointId, row]) => ({
      state: row.state ?? "live",
      address: {
        endpointId,
        incarnation: row.incarnation ?? "v1",
        ...place,
        availabilityZone: row.zone ?? "a",
        checksFencing: false,
      },
    })),
    0,
  );
}

function report(
  registry: EndpointRegistry,
  endpointId: string,
  options: Partial<LoadReport> & { at?: number; direct?: boolean } = {},
): void {
  const { at = 0, direct = true, ...fields } = options;
  const content: LoadReport = {
    incarnation: "p1",
    sequence: ++sequence,
    state: "ready",
    running: 0,
    waiting: 0,
    concurrency: 4,
    accepted: 0,
    queuedTokens: 0,
    models: { m: "1" },
    adapters: [],
    role: "any",
    ...fields,
  };
  registry.report({ endpointId, report: content, now: at, direct });
}

/** Creates a registry of endpoints that have reported as idle. */
function registryOf(rows: Rows, options = {}): EndpointRegistry {
  const registry = new EndpointRegistry(options);
  list(registry, rows);
  for (const endpointId of Object.keys(rows)) report(registry, endpointId);
  return registry;
}

function choose(
  registry: EndpointRegistry,
  call: Partial<ChooseOptions> = {},
): string {
  const options = { service: "s", model: "m", zone: "a", now: 0, random };
  const chosen = chooseEndpoint(registry, { ...options, ...call });
  return "none" in chosen ? chosen.none : chosen.endpointId;
}

function distinctChoices(registry: EndpointRegistry, call = {}): string {
  const chosen = Array.from({ length: 60 }, () => choose(registry, call));
  return [...new Set(chosen)].sort().join(" ");
}

function fail(
  registry: EndpointRegistry,
  endpointId: string,
  options: { outcome: CallOutcome; at: number; generation?: number },
): void {
  const { at, generation = registry.callStarted({ endpointId, at }) } = options;
  const ended = { endpointId, generation, latencyMilliseconds: 1 };
  registry.callEnded({ ...ended, ...options });
}

test("only compatible endpoints with free capacity are chosen", () => {
  const rows = { a: {}, b: {}, c: {}, d: {}, e: {}, f: {} };
  const registry = registryOf(rows, { sliceOf: () => 1 });
  expect(choose(new EndpointRegistry())).toEqual("no_endpoint");
  report(registry, "b", { models: { other: "1" } });
  report(registry, "c", { state: "loading" });
  report(registry, "d", { role: "decode" });
  report(registry, "e", { state: "leaving" });
  report(registry, "f", { adapters: ["x"] });
  expect(distinctChoices(registry, { role: "prefill" })).toEqual("a f");
  expect(distinctChoices(registry, { adapter: "x" })).toEqual("f");
  expect(distinctChoices(registry, { exclude: new Set(["a", "d"]) })).toEqual(
    "f",
  );
  registry.callStarted({ endpointId: "f", at: 0 });
  expect(choose(registry, { adapter: "x" })).toEqual("all_full");
  expect(choose(registry, { adapter: "y" })).toEqual("no_endpoint");
});

test("the local zone is preferred until it is loaded or lost", () => {
  const rows = { a: {}, b: { zone: "b" }, far: { zone: "far" } };
  const regionOf = (zone: string): string => zone === "far" ? "2" : "1";
  const registry = registryOf(rows, { regionOf });
  expect(distinctChoices(registry)).toEqual("a");
  report(registry, "a", { running: 4, waiting: 1 });
  expect(distinctChoices(registry)).toEqual("b");
  report(registry, "b", { running: 4, waiting: 4 });
  expect(distinctChoices(registry)).toEqual("far");
  report(registry, "far", { running: 4, waiting: 1 });
  expect(distinctChoices(registry)).toEqual("a");
  report(registry, "b");
  report(registry, "b", { running: 9, sequence: 1 });
  registry.drain("a");
  expect(distinctChoices(registry)).toEqual("b");
});

// Guards against new calls to a leaving endpoint: it answers a call with
// `leaving` while stale reports and lists that say "live" keep arriving; see
// LeavingTracker. A replacement under the same id starts without marks, in slow
// start and without the calls that were sent to its predecessor.
test("leaving is sticky for an incarnation, and its successor starts clean", () => {
  const registry = registryOf({ a: {} });
  const generation = registry.callStarted({ endpointId: "a", at: 1 });
  fail(registry, "a", { outcome: "leaving", at: 2 });
  report(registry, "a", { at: 3 });
  list(registry, {});
  list(registry, { a: {} });
  report(registry, "a", { at: 3 });
  expect(choose(registry, { now: 3 })).toEqual("no_endpoint");
  list(registry, { a: { incarnation: "v2" } });
  report(registry, "a", { at: 4, incarnation: "p2" });
  report(registry, "a", { at: 5, incarnation: "p1", state: "leaving" });
  list(registry, { a: { incarnation: "v1", state: "leaving" } });
  expect(choose(registry, { now: 5 })).toEqual("a");
  const [status] = registry.status(5);
  expect([status?.health, status?.inFlight]).toEqual(["ramping", 0]);
  expect(status?.limit).toEqual(1);
  fail(registry, "a", { outcome: "leaving", at: 6, generation });
  expect(choose(registry, { now: 6 })).toEqual("a");
});

// Guards against endpoints that stay unused after a failed switch recovers: all
// connections to running endpoints are refused for a while, three refusals mark
// an endpoint as leaving, and that mark is sticky.
test("refusals stop new calls, and a direct answer clears them", () => {
  const registry = registryOf({ a: {}, b: {} });
  const due = (now: number): string[] =>
    registry.probesDue(now).map((one) => one.endpointId);
  fail(registry, "a", { outcome: "refused", at: 10 });
  expect(distinctChoices(registry, { now: 10 })).toEqual("b");
  expect([due(10), due(11)]).toEqual([["a"], []]);
  for (const at of [20, 30, 6_000, 20_000, 50_000]) {
    registry.probeFailed({ endpointId: "a", result: "refused", at });
  }
  report(registry, "a", { at: 50_001, direct: false });
  expect(registry.status(50_001)[0]?.leavingBy).toEqual(["refusals"]);
  expect(due(60_000)).toEqual(["a"]);
  report(registry, "a", { at: 60_001 });
  expect(due(60_600)).toEqual(["a"]);
  report(registry, "a", { at: 60_601 });
  expect(registry.status(60_601)[0]?.health).toEqual("ramping");
  expect(registry.status(60_601)[0]?.leavingBy).toEqual([]);
});

// Guards against rejecting every call while all endpoints are healthy: a
// network device drops the state of all connections, and every endpoint becomes
// suspect.
test("suspects are chosen when there are no other endpoints, but not before", () => {
  const registry = registryOf({ a: {}, b: {} }, { sliceOf: () => 1 });
  registry.suspect("a", 0);
  expect(distinctChoices(registry)).toEqual("b");
  registry.callStarted({ endpointId: "b", at: 0 });
  expect(choose(registry)).toEqual("all_full");
  registry.suspect("b", 0);
  expect(choose(registry)).toEqual("a");
});

test("daemons agree on a prefix's endpoint and spread a hot prefix", () => {
  const names = Array.from({ length: 8 }, (_, index) => `e${index}`);
  const daemons = [1, 2, 3].map((seed) => {
    const registry = registryOf(
      Object.fromEntries(names.map((id) => [id, {}])),
    );
    names.forEach((id, index) => report(registry, id, { running: index % 2 }));
    return { registry, random: new SeededRandom(seed) };
  });
  const usedEndpoints = new Set<string>();
  for (let prefix = 0; prefix < 200; prefix++) {
    const chosen = daemons.map(({ registry, random }) =>
      choose(registry, { prefixHash: `prefix-${prefix}`, random })
    );
    expect(new Set(chosen).size).toEqual(1);
    usedEndpoints.add(chosen[0] ?? "");
  }
  expect(usedEndpoints.size).toEqual(8);
  const hotEndpoints = new Set<string>();
  const [first] = daemons;
  for (let count = 0; count < 20 && first !== undefined; count++) {
    const endpointId = choose(first.registry, { prefixHash: "hot" });
    first.registry.callStarted({ endpointId, at: 0 });
    hotEndpoints.add(endpointId);
  }
  expect(hotEndpoints.size >= 6).toEqual(true);
});

test("a cached prefix is preferred up to a bounded load difference", () => {
  const registry = registryOf({ a: {}, b: {} });
  const call = { prefixHash: "p", prefixes: { holders: () => ["a"] } };
  report(registry, "a", { running: 1 });
  expect(distinctChoices(registry, call)).toEqual("a");
  report(registry, "a", { running: 4 });
  expect(distinctChoices(registry, call)).toEqual("b");
});
