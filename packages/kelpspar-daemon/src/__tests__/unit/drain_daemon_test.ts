import type { CoreBench } from "../support/core_harness.ts";
import { expect } from "earl";
import { test } from "node:test";
import { toKelpsparError } from "kelpspar-shared";
import { drainDaemon } from "../../drain_daemon.ts";
import { createCoreBench } from "../support/core_harness.ts";

const LIMIT_MILLISECONDS = 60_000;
/** Less than a call may be silent. */
const WHILE_MILLISECONDS = 1_500;
const BOOKING = {
  pipeline: "booking",
  idempotencyKey: "k",
  deadlineMilliseconds: 60_000,
};

interface Drain {
  /** What the peers were told: whether the daemon leaves. */
  readonly announced: boolean[];
  isOver: boolean;
}

function startDrain(
  bench: CoreBench,
  limitMilliseconds: number = LIMIT_MILLISECONDS,
): Drain {
  const { core, timer } = bench;
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

test("a planned stop cuts no request off and takes no new one", async () => {
  // Symptom: a caller's answer ends in the middle at each upgrade.
  // Sequence: a daemon is told to stop while a request is in flight.
  // Cause: the process ends as soon as its listener is closed.
  const bench = createCoreBench();
  const { ports, timer, core } = bench;
  ports.endpoints.onCall = () => {};
  const context = bench.submit({ deadlineMilliseconds: 60_000 });
  await timer.settle();
  const drain = startDrain(bench);
  await timer.advance(WHILE_MILLISECONDS);
  expect([drain.announced, drain.isOver]).toEqual([[true], false]);
  expect(core.fleet.addresses(undefined).daemons).toEqual([]);
  expect(submitAnother(bench)).toEqual(["draining", "not_run"]);
  ports.endpoints.calls[0]?.answer("whole");
  await timer.advance(100);
  // The request that was refused shows that callers still send: one that met
  // the listener's end could not be told from one that was cut off.
  expect([context.log.text(), context.log.final?.type, drain.isOver])
    .toEqual(["whole", "end", false]);
  await timer.advance(500);
  expect(drain.isOver).toEqual(true);
  await bench.stop();
});

test("a planned stop waits until the results of bookings are stored", async () => {
  // Symptom: after an upgrade a booking's caller finds its key claimed by a
  // daemon that is gone, and never learns that the booking was made.
  // Sequence: a booking ends while the store is down, and its daemon is told
  // to stop; the store comes back a little later.
  // Cause: only requests are waited for, not what is still to be written.
  const bench = createCoreBench();
  const { ports, timer, core } = bench;
  ports.endpoints.onCall = (call) => {
    if (call.call.stageId === "encode") call.answer("encoded");
  };
  const context = bench.submit(BOOKING);
  await timer.advance(100);
  ports.table.setFaults({ outage: "unavailable" });
  ports.endpoints.callsOf("book")[0]?.answer("booked");
  const drain = startDrain(bench);
  await timer.advance(5_000);
  expect([context.log.final?.type, core.registry.running, drain.isOver])
    .toEqual(["end", 0, false]);
  ports.table.setFaults({ outage: "none" });
  await timer.advance(3_000);
  expect([core.claims.open, drain.isOver]).toEqual([0, true]);
  const [row] = await ports.table.read([{ table: "claims", key: "small/k" }]);
  expect((row?.value as { readonly state: string }).state).toEqual("done");
  await bench.stop();
});

test("a planned stop ends at its limit, whatever still hangs", async () => {
  const bench = createCoreBench();
  bench.ports.endpoints.onCall = () => {};
  bench.submit({ deadlineMilliseconds: 60_000 });
  const drain = startDrain(bench, WHILE_MILLISECONDS);
  await bench.timer.advance(WHILE_MILLISECONDS - 100);
  expect(drain.isOver).toEqual(false);
  await bench.timer.advance(100);
  expect([drain.isOver, bench.core.registry.running]).toEqual([true, 1]);
  await bench.stop();
});

function submitAnother(bench: CoreBench): readonly string[] {
  try {
    bench.submit({});
  } catch (thrown) {
    const { result, outcome } = toKelpsparError(thrown);
    return [result, outcome];
  }
  return [];
}
