import type { EndpointEntry } from "../../endpoints/endpoint_entry.ts";
import { expect } from "earl";
import { test } from "node:test";
import { EndpointRegistry } from "../../endpoints/endpoint_registry.ts";

function createRegistry(): EndpointRegistry {
  return new EndpointRegistry();
}

function entry(id: string, isDraining = false, bornAt = 1): EndpointEntry {
  return {
    id,
    bornAt,
    service: "model",
    address: "10.0.0.1:80",
    zone: "a",
    slots: 4,
    isDraining,
  };
}

function idsOf(registry: EndpointRegistry): readonly string[] {
  return registry.availableFor("model").map((state) => state.entry.id);
}

test("an endpoint that reported leaving is never re-added", () => {
  // Guards against requests to an endpoint seconds after it began to drain: its
  // entry announced the drain, the store's history was dropped, and a stale
  // reader sent the whole earlier table, whose entry was taken as current.
  const registry = createRegistry();
  registry.upsert(entry("i1"), 0);
  registry.upsert(entry("i1", true), 0);
  registry.upsert(entry("i1"), 0);
  expect(idsOf(registry)).toEqual([]);
});

// Guards against streams of two versions at an endpoint that was replaced.
test("an endpoint whose software version changes is a new endpoint", () => {
  const registry = createRegistry();
  const events: string[] = [];
  registry.registerListed(({ version }) => events.push(`listed ${version}`));
  registry.registerGone((_id, _cause, { version }) =>
    events.push(`gone ${version}`)
  );
  for (const version of ["v1", "v1", "v2"]) {
    registry.upsert({ ...entry("i1"), version }, 0);
  }
  expect(events).toEqual(["listed v1", "gone v1", "listed v2"]);
});

test("an endpoint whose entry is removed without an outage is not re-added", () => {
  const registry = createRegistry();
  registry.upsert(entry("i1"), 0);
  registry.reportMissing("i1", undefined);
  registry.upsert(entry("i1"), 0);
  expect(idsOf(registry)).toEqual([]);
});

test("an entry that expired during a store outage may reappear", () => {
  // Guards against a registry without endpoints after a store outage:
  // heartbeats failed and entries expired; the recovered store reported the
  // removals first and the renewed entries a second later.
  const registry = createRegistry();
  registry.upsert(entry("i1"), 0);
  registry.upsert(entry("i2"), 0);
  registry.reportMissing("i1", 2_000);
  registry.reportMissing("i2", 2_000);
  registry.removeExpired(1_500);
  expect(idsOf(registry)).toEqual(["i1", "i2"]);
  registry.upsert(entry("i1"), 0);
  registry.removeExpired(2_001);
  expect(idsOf(registry)).toEqual(["i1"]);
});

test("listeners are called once when an endpoint is gone", () => {
  const registry = createRegistry();
  const gone: string[] = [];
  const teardown = registry.registerGone((id) => gone.push(id));
  registry.upsert(entry("i1"), 0);
  registry.retire(entry("i1"));
  registry.retire(entry("i1"));
  teardown();
  registry.upsert(entry("i2"), 0);
  registry.retire(entry("i2"));
  expect(gone).toEqual(["i1"]);
});

test("an endpoint that restarts under its id is a new endpoint", () => {
  // Guards against requests that refer to results and prompts of the earlier
  // incarnation, and against earlier failures that keep the endpoint from
  // getting work, after it crashed and restarted under its id.
  const registry = createRegistry();
  const gone: string[] = [];
  registry.registerGone((id) => gone.push(id));
  registry.upsert(entry("i1"), 0);
  const first = registry.find("i1");
  first?.failed(true, 0);
  registry.upsert(entry("i1", false, 2), 0);
  expect(gone).toEqual(["i1"]);
  expect(first?.ended.aborted).toEqual(true);
  expect(registry.find("i1") === first).toEqual(false);
  expect(registry.find("i1")?.isSetAside(1)).toEqual(false);
  expect(idsOf(registry)).toEqual(["i1"]);
});

test("entries of an earlier incarnation are ignored, and a later one may follow a leaving one", () => {
  // Guards against the removal of an endpoint that has just restarted: a slow
  // reader delivered the leaving entry of the earlier incarnation after the
  // entry of the new one, and leaving was decided by the id alone.
  const registry = createRegistry();
  registry.upsert(entry("i1"), 0);
  registry.upsert(entry("i1", true), 0);
  registry.upsert(entry("i1", false, 2), 0);
  registry.upsert(entry("i1", true), 0);
  registry.upsert(entry("i1"), 0);
  registry.retire(entry("i1"));
  expect(idsOf(registry)).toEqual(["i1"]);
  expect(registry.find("i1")?.entry.bornAt).toEqual(2);
  registry.reportIncarnation({ id: "i1", bornAt: 1 }, 0);
  expect(registry.find("i1")?.entry.bornAt).toEqual(2);
  registry.reportIncarnation({ id: "i1", bornAt: 3 }, 0);
  expect(registry.find("i1")?.entry.bornAt).toEqual(3);
});

test("an older entry of an unknown incarnation doesn't replace a newer one", () => {
  // Guards against calls to the address of an earlier incarnation: a daemon
  // that had just started read the newest entry and then a stale page with the
  // previous one, whose end it had not observed.
  const registry = createRegistry();
  registry.upsert({ ...entry("i1", false, 2), address: "10.0.0.2:80" }, 0);
  registry.upsert(entry("i1", false, 1), 0);
  expect(registry.find("i1")?.entry.address).toEqual("10.0.0.2:80");
});

test("a missing incarnation isn't readmitted next to a later one", () => {
  // Guards against an earlier incarnation in place of a later one: the entry
  // expired, the endpoint restarted under its id, and a heartbeat of the
  // earlier incarnation arrived last and stayed listed until the later one
  // wrote its own.
  const registry = createRegistry();
  registry.upsert(entry("i1"), 0);
  registry.reportMissing("i1", undefined);
  registry.upsert(entry("i1", false, 2), 1_000);
  registry.upsert(entry("i1"), 2_000);
  expect(registry.readmit(9_000)).toEqual([]);
  expect(registry.find("i1")?.entry.bornAt).toEqual(2);
});

test("a missing endpoint is readmitted once it stays listed", () => {
  const registry = createRegistry();
  registry.upsert(entry("i1"), 0);
  registry.reportMissing("i1", undefined);
  expect(registry.upsert(entry("i1"), 1_000)).toEqual("listed_again");
  expect(registry.upsert(entry("i1"), 2_000)).toEqual("has_left");
  expect(registry.readmit(999)).toEqual([]);
  registry.reportMissing("i1", undefined);
  registry.upsert(entry("i1"), 3_000);
  registry.restartReturnPeriods(4_000);
  expect(registry.readmit(3_999)).toEqual([]);
  expect(registry.readmit(4_000).map(({ id }) => id)).toEqual(["i1"]);
  expect(idsOf(registry)).toEqual(["i1"]);
});

// Guards against slow endpoints that get one trial call after another.
test("an endpoint that is slow after a silence gets its trials with pauses", () => {
  const registry = createRegistry();
  registry.upsert(entry("i1"), 0);
  const [state] = registry.availableFor("model");
  const answerOverdueCall = (startedAt: number, now: number): void => {
    state?.callOverdue(startedAt + 500);
    state?.overdueCallEnded({ isAnswered: true, startedAt, now });
    state?.succeeded(10, now, startedAt);
  };
  answerOverdueCall(0, 1_000);
  expect(state?.slowness(1_000)).toEqual(1);
  answerOverdueCall(1_001, 2_000);
  expect((state?.slowness(2_000) ?? 0) > 3).toEqual(true);
  expect((state?.slowness(2_249) ?? 0) > 3).toEqual(true);
  expect(state?.slowness(2_250)).toEqual(1);
  answerOverdueCall(2_250, 3_250);
  expect((state?.slowness(3_749) ?? 0) > 3).toEqual(true);
});

// Guards against an endpoint that one slow call after a silence sets aside.
test("an endpoint is used again after a slow trial and a normal one", () => {
  const registry = createRegistry();
  registry.upsert(entry("i1"), 0);
  const [state] = registry.availableFor("model");
  state?.callOverdue(500);
  state?.overdueCallEnded({ isAnswered: true, startedAt: 0, now: 1_000 });
  state?.succeeded(20, 1_000, 0);
  state?.succeeded(2.5, 1_100, 1_001);
  expect(state?.slowness(1_350)).toEqual(1);
  state?.succeeded(1, 1_400, 1_350);
  expect(state?.slowness(1_400)).toEqual(1);
});

// Guards against endpoints that a daemon avoids after its own isolation ended.
test("failures of an isolated daemon's calls are forgotten when it ends", () => {
  const registry = createRegistry();
  registry.upsert(entry("i1"), 0);
  const [state] = registry.availableFor("model");
  for (const at of [10, 20, 900, 910]) state?.failed(true, at);
  state?.overdue(40, 920);
  registry.forgetFailures();
  expect(state?.isSetAside(930)).toEqual(false);
  expect(state?.slowness(930)).toEqual(1);
  state?.failed(true, 940);
  expect(state?.isSetAside(1_650)).toEqual(false);
});

// Guards against long avoidance of an endpoint that only paused, because one of
// its silent calls was replaced after the others went on.
test("an endpoint that goes on isn't set aside for a call that was replaced", () => {
  for (const lastIsAnswered of [true, false]) {
    const registry = createRegistry();
    registry.upsert(entry("i1"), 0);
    const state = registry.find("i1");
    for (let call = 0; call < 3; call++) state?.callOverdue(1_000);
    expect(state?.isSetAside(1_100)).toEqual(true);
    const end = { startedAt: 0, now: 1_100 };
    state?.overdueCallEnded({ ...end, isAnswered: !lastIsAnswered });
    state?.overdueCallEnded({ ...end, isAnswered: true });
    state?.overdueCallEnded({ ...end, isAnswered: lastIsAnswered });
    expect(state?.isSetAside(1_100)).toEqual(false);
  }
});
