import type { CallOutcome, LimitSample } from "../../routing/mod.ts";
import { test } from "node:test";
import { expect } from "earl";
import * as fc from "fast-check";
import { SeededRandom } from "kelpspar-shared";
import { AdaptiveLimit } from "../../routing/mod.ts";

const SLICE = 16;
const CONCURRENCY = 16;
const DAEMONS = 8;

/**
 * Simulates daemons that send as many calls as allowed to one endpoint with a
 * queue, after 10 s of low load. Returns the busy share, mean queue length and
 * ended calls per daemon of the last 30 s.
 */
function runLoop(
  options: { readonly isAdaptive: boolean; readonly lengthAt30: number },
): { busy: number; queued: number; fewest: number; most: number } {
  const random = new SeededRandom(5);
  const daemons = Array.from({ length: DAEMONS }, () => {
    const limit = new AdaptiveLimit({ slice: SLICE });
    return { limit, inFlight: 0, ended: 0 };
  });
  type Call = { daemon: (typeof daemons)[number]; at: number; endsAt: number };
  let running: Call[] = [];
  const waiting: Call[] = [];
  let [reported, created, busy, queued] = [0, 0, 0, 0];
  for (let now = 0; now < 60_000; now++) {
    const isMeasuring = now >= 30_000;
    for (const { daemon, at } of running.filter((one) => one.endsAt <= now)) {
      const latencyMilliseconds = now - at;
      const inFlight = daemon.inFlight--;
      daemon.ended += isMeasuring ? 1 : 0;
      const ended = {
        latencyMilliseconds,
        inFlight,
        isQueueing: reported > 0,
      };
      daemon.limit.callEnded(sampleOf({ at: now, ...ended }));
    }
    running = running.filter((one) => one.endsAt > now);
    if (now % 500 === 0) [reported, created] = [created, waiting.length];
    for (const daemon of daemons) {
      const allowed = options.isAdaptive ? daemon.limit.limit : SLICE;
      const wanted = now < 10_000 ? 1 : allowed;
      for (; daemon.inFlight < wanted; daemon.inFlight++) {
        waiting.push({ daemon, at: now, endsAt: 0 });
      }
    }
    for (const call of waiting.splice(0, CONCURRENCY - running.length)) {
      const mean = isMeasuring ? options.lengthAt30 : 100;
      call.endsAt = now - Math.log(1 - random.next()) * mean + 1;
      running.push(call);
    }
    busy += isMeasuring ? running.length / CONCURRENCY / 30_000 : 0;
    queued += isMeasuring ? waiting.length / 30_000 : 0;
  }
  const ended = daemons.map((one) => one.ended);
  return { busy, queued, fewest: Math.min(...ended), most: Math.max(...ended) };
}

function sampleOf(fields: Partial<LimitSample>): LimitSample {
  const at = { at: 0, latencyMilliseconds: 10, inFlight: 4 };
  return { ...at, outcome: "success", isQueueing: false, model: "", ...fields };
}

test("limits shorten the queue, keep the endpoint busy and are fair", (t) => {
  for (const lengthAt30 of [100, 400]) {
    const limited = runLoop({ isAdaptive: true, lengthAt30 });
    const unlimited = runLoop({ isAdaptive: false, lengthAt30 });
    t.diagnostic(
      `calls of ${lengthAt30} ms: ${limited.queued.toFixed(1)} waiting, ` +
        `${limited.busy.toFixed(3)} busy, a daemon completed ` +
        `${limited.fewest} to ${limited.most}; without limits ` +
        `${unlimited.queued.toFixed(1)} waiting`,
    );
    expect(limited.queued < unlimited.queued / 2.5).toEqual(true);
    expect(limited.busy > 0.95).toEqual(true);
    expect(limited.most < 4 * limited.fewest).toEqual(true);
  }
});

// Guards against calls held back from idle endpoints: inputs and therefore
// calls get longer while no endpoint has a queue, and the latency above the
// baseline is mistaken for queueing.
test("latency alone never decreases a limit", () => {
  const limit = new AdaptiveLimit({ slice: SLICE });
  for (let at = 0; at < 20_000; at += 10) {
    const latencyMilliseconds = at < 10_000 ? 10 : 100;
    limit.callEnded(sampleOf({ at, latencyMilliseconds }));
  }
  expect(limit.limit).toEqual(SLICE);
});

// Guards against a limit that drops to its floor after a brief overload: many
// calls sent before the decrease fail after it, but reflect the old limit.
test("a limit decreases once for the calls of one round trip", () => {
  const limit = new AdaptiveLimit({ slice: SLICE });
  for (let at = 100; at < 110; at++) {
    const sent = { latencyMilliseconds: 100, inFlight: SLICE };
    limit.callEnded(sampleOf({ at, outcome: "overloaded", ...sent }));
  }
  expect(limit.limit).toEqual(12);
});

test("a limit stays between its floor and its slice", () => {
  const sample = fc.record({
    latencyMilliseconds: fc.integer({ min: 1, max: 5_000 }),
    outcome: fc.constantFrom<CallOutcome>("success", "overloaded", "failed"),
    inFlight: fc.integer({ min: 1, max: 40 }),
    isQueueing: fc.boolean(),
  });
  const samples = fc.array(sample, { maxLength: 200, size: "max" });
  fc.assert(
    fc.property(
      samples,
      fc.integer({ min: 1, max: 9 }),
      (randomSamples, slice) => {
        const limit = new AdaptiveLimit({ slice: SLICE });
        limit.setSlice(slice);
        randomSamples.forEach((one, index) => {
          const before = limit.limit;
          limit.callEnded(sampleOf({ ...one, at: index * 50 }));
          expect(limit.limit >= 1 && limit.limit <= slice).toEqual(true);
          const grew = limit.limit > before;
          expect(grew && one.outcome === "overloaded").toEqual(false);
        });
      },
    ),
    { seed: 9, numRuns: 500 },
  );
});
