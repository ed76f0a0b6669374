import type { CoreHarness } from "../support/core_harness.ts";
import { expect } from "earl";
import { test } from "node:test";
import { toKelpsparError } from "kelpspar-shared";
import { drainDaemon } from "../../drain_daemon.ts";
import { createCoreHarness } from "../support/core_harness.ts";

const LIMIT_MILLISECONDS = 60_000;
/** Shorter than the silence that a call tolerates. */
const SHORT_MILLISECONDS = 1_500;
const BOOKING = {
  pipeline: "booking",
  idempotencyKey: "k",
  deadlineMilliseconds: 60_000,
};

interface Drain {
  /** The announced values of `isLeaving`. */
  readonly announced: boolean[];
  isOver: boolean;
}

function startDrain(
  harness: CoreHarness,
  limitMilliseconds: number = LIMIT_MILLISECONDS,
): Drain {
  const { core, timer } = harness;
  const drain: Drain = { announced: [], isOver: false };
  void drainDaemon({
    core,
    timer,
    announce: async () => {
      drain.announced.push(core.state.read().isLeaving);
    },
    limitMilliseconds,
  }).then(() => {
    drain.isOver = true;
  });
  return drain;
}

test("a planned stop interrupts no request and accepts no new one", async () => {
  // Failure: an upgrade truncates a caller's answer. A daemon is stopped while a
  // request is in flight, and the process ends as soon as its server is closed.
  const harness = createCoreHarness();
  const { ports, timer, core } = harness;
  ports.endpoints.onCall = () => {};
  const context = harness.submit({ deadlineMilliseconds: 60_000 });
  await timer.settle();
  const drain = startDrain(harness);
  await timer.advance(SHORT_MILLISECONDS);
  expect([drain.announced, drain.isOver]).toEqual([[true], false]);
  expect(core.fleet.addresses(undefined).daemons).toEqual([]);
  expect(tryToSubmit(harness)).toEqual(["draining", "not_run"]);
  ports.endpoints.calls[0]?.answer("whole");
  await timer.advance(100);
  // The refused request shows that callers still send. A caller whose request
  // meets a closing connection cannot know whether it ran.
  expect([context.log.text(), context.log.final?.type, drain.isOver])
    .toEqual(["whole", "end", false]);
  await timer.advance(500);
  expect(drain.isOver).toEqual(true);
  await harness.stop();
});

test("a planned stop waits until the results of claimed requests are stored", async () => {
  // Failure: after an upgrade, the key of a booking is claimed by a daemon that
  // is gone, and its caller never gets the result. The booking ends during a
  // store outage and the daemon is stopped before the store recovers; the stop
  // waits for requests but not for pending writes.
  const harness = createCoreHarness();
  const { ports, timer, core } = harness;
  ports.endpoints.onCall = (call) => {
    if (call.call.stageId === "encode") call.answer("encoded");
  };
  const context = harness.submit(BOOKING);
  await timer.advance(100);
  ports.table.setFaults({ outage: "unavailable" });
  ports.endpoints.callsOf("book")[0]?.answer("booked");
  const drain = startDrain(harness);
  await timer.advance(5_000);
  expect([context.log.final?.type, core.registry.running, drain.isOver])
    .toEqual(["end", 0, false]);
  ports.table.setFaults({ outage: "none" });
  await timer.advance(3_000);
  expect([core.claims.open, drain.isOver]).toEqual([0, true]);
  const [row] = await ports.table.read([{ table: "claims", key: "small/k" }]);
  expect((row?.value as { readonly state: string }).state).toEqual("done");
  await harness.stop();
});

test("a planned stop ends at its limit even if a request hangs", async () => {
  const harness = createCoreHarness();
  harness.ports.endpoints.onCall = () => {};
  harness.submit({ deadlineMilliseconds: 60_000 });
  const drain = startDrain(harness, SHORT_MILLISECONDS);
  await harness.timer.advance(SHORT_MILLISECONDS - 100);
  expect(drain.isOver).toEqual(false);
  await harness.timer.advance(100);
  expect([drain.isOver, harness.core.registry.running]).toEqual([true, 1]);
  await harness.stop();
});

function tryToSubmit(harness: CoreHarness): readonly string[] {
  try {
    harness.submit({});
  } catch (thrown) {
    const { result, outcome } = toKelpsparError(thrown);
    return [result, outcome];
  }
  return [];
}
