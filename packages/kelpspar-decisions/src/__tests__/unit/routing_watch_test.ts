import type { SilenceProbe, ZonedNode } from "../../routing/mod.ts";
import { test } from "node:test";
import { expect } from "earl";
import { assignWatches, ConnectionMonitor } from "../../routing/mod.ts";

function createNodes(
  prefix: string,
  count: number,
  zones: number,
): ZonedNode[] {
  return Array.from({ length: count }, (_, index) => ({
    id: `${prefix}${index}`,
    availabilityZone: `z${index % zones}`,
  }));
}

/** Watchers by endpoint; the publisher comes first. */
function watchersOf(
  daemons: readonly ZonedNode[],
  endpoints: readonly ZonedNode[],
): Map<string, string[]> {
  const watchers = new Map(
    endpoints.map(({ id }) => [id, new Array<string>()]),
  );
  for (const self of daemons) {
    const others = daemons.filter((one) => one !== self);
    for (const watch of assignWatches({ self, others, endpoints })) {
      const known = watchers.get(watch.endpointId) ?? [];
      known.splice(watch.publishes ? 0 : known.length, 0, self.id);
    }
  }
  return watchers;
}

test("each endpoint has two watchers, and a lost one moves only its own", (t) => {
  const daemons = createNodes("d", 340, 10);
  const endpoints = createNodes("e", 2_500, 10);
  const before = watchersOf(daemons, endpoints);
  const after = watchersOf(daemons.filter((one) => one.id !== "d7"), endpoints);
  const loads = new Map<string, number>();
  for (const [id, watchers] of before) {
    for (const one of watchers) loads.set(one, (loads.get(one) ?? 0) + 1);
    const stayed = watchers.filter((one) => one !== "d7");
    const now = after.get(id) ?? [];
    expect([watchers.length, now.length]).toEqual([2, 2]);
    expect(now.slice(0, stayed.length)).toEqual(stayed);
  }
  const most = Math.max(...loads.values());
  t.diagnostic(`2,500 endpoints, 340 daemons: at most ${most} a daemon`);
  expect(most < 35).toEqual(true);
});

test("a lost zone is watched from others, and a small fleet by all daemons", () => {
  const endpoints = createNodes("e", 300, 3);
  const daemons = createNodes("d", 30, 3).filter((one) =>
    one.availabilityZone !== "z0"
  );
  expect(watchersOf(daemons, endpoints).get("e0")?.length).toEqual(2);
  const smallFleet = watchersOf(
    createNodes("d", 8, 3),
    createNodes("e", 24, 3),
  );
  expect([...smallFleet.values()].every((one) => one.length === 8)).toEqual(
    true,
  );
});

function probe(fields: Partial<SilenceProbe> = {}): SilenceProbe {
  return { answered: true, isQueueing: false, suspectedAt: 3_000, ...fields };
}

// Guards against calls that hang until their deadline: a network device drops
// the connection's state while new connections work, and silence isn't a
// failure.
test("a silent call is handled by its probe result and effect", () => {
  const verdicts = [];
  for (const effect of ["none", "once"] as const) {
    for (const isResumable of [true, false]) {
      for (const answered of [true, false]) {
        const monitor = new ConnectionMonitor({
          effect,
          isResumable,
          progressTimeoutMilliseconds: 2_000,
          startedAt: 1_000,
        });
        expect(monitor.suspectAt(10)).toEqual(3_000);
        const verdict = monitor.evaluateProbe(probe({ answered }));
        verdicts.push(`${verdict?.endpoint} ${verdict?.call}`);
        monitor.progressed(3_500);
        expect(monitor.evaluateProbe(probe())).toEqual(undefined);
        const streamTimeout = effect === "none" ? 250 : 2_000;
        expect(monitor.suspectAt(10)).toEqual(3_500 + streamTimeout);
        expect(monitor.suspectAt(9_000)).toEqual(5_500);
      }
    }
  }
  expect(verdicts).toEqual([
    "keep resume_here",
    "eject resend_elsewhere",
    "keep resend_elsewhere",
    "eject resend_elsewhere",
    "keep resume_here",
    "eject give_up",
    "keep give_up",
    "eject give_up",
  ]);
});

// Guards against doubling the load of an overloaded service: calls are queued
// there for longer than the progress timeout and are sent again.
test("a call that may be queued gets one more timeout, and only one", () => {
  const monitor = new ConnectionMonitor({
    effect: "none",
    isResumable: false,
    progressTimeoutMilliseconds: 2_000,
    startedAt: 1_000,
  });
  expect(monitor.evaluateProbe(probe({ isQueueing: true }))).toEqual(undefined);
  expect(monitor.suspectAt()).toEqual(5_000);
  const later = probe({ isQueueing: true, suspectedAt: 5_000 });
  expect(monitor.evaluateProbe(later)?.call).toEqual("resend_elsewhere");
});
