import type { AdmissionRequest, StageTimes } from "../../admission/mod.ts";
import { test } from "node:test";
import { expect } from "earl";
import fc from "fast-check";
import { SeededRandom } from "kelpspar-shared";
import {
  Admission,
  stageBudget,
  StageTimeEstimator,
  TimeHistogram,
} from "../../admission/mod.ts";

const times = fc.record({
  wait: fc.integer({ min: 0, max: 400 }),
  milliseconds: fc.double({ min: 0.1, max: 1e6, noNaN: true }),
});

test("quantiles are within 4% of those of a sorted list", () => {
  fc.assert(
    fc.property(fc.array(times, { minLength: 1 }), (observed) => {
      const histogram = new TimeHistogram({ windowMilliseconds: 1_000 });
      const list: { at: number; milliseconds: number }[] = [];
      let now = 0;
      for (const { wait, milliseconds } of observed) {
        now += wait;
        histogram.observe(milliseconds, now);
        list.push({ at: now, milliseconds });
      }
      const start = (Math.floor(now / 1_000) - 1) * 1_000;
      const kept = list.filter(({ at }) => at >= start)
        .map(({ milliseconds }) => milliseconds).sort((a, b) => a - b);
      const result = histogram.times(now);
      expect(result?.samples).toEqual(kept.length);
      expect(result?.minimum).toEqual(kept[0]);
      for (const [name, share] of [["p50", 0.5], ["p95", 0.95]] as const) {
        const exact = kept[Math.ceil(share * kept.length) - 1] ?? 0;
        const ratio = (result?.[name] ?? 0) / exact;
        expect(ratio > 0.96 && ratio < 1.04).toEqual(true);
      }
      expect(histogram.times(now + 2_000)).toEqual(undefined);
    }),
    { seed: 1 },
  );
});

function setUp(milliseconds: readonly number[]): {
  decide: (
    request: Partial<AdmissionRequest>,
    now?: number,
  ) => ReturnType<Admission["decide"]>;
  estimator: StageTimeEstimator;
} {
  const estimator = new StageTimeEstimator();
  for (const one of milliseconds) {
    estimator.observe("p", "s", { milliseconds: one, now: 0 });
  }
  const admission = new Admission({ estimator, random: new SeededRandom(1) });
  const usual = {
    pipelineId: "p",
    point: "arrival",
    repeatable: true,
    stages: [{ stageId: "s", waitMilliseconds: 0 }],
  } as const;
  const decide = (request: Partial<AdmissionRequest>, now = 0) =>
    admission.decide(
      { ...usual, remainingMilliseconds: 1_000, ...request },
      now,
    );
  return { decide, estimator };
}

const UNEVEN = [...Array.from({ length: 90 }, () => 100), 400, 400, 400]
  .concat(Array.from({ length: 10 }, () => 800));

test("without a wait only hopeless requests are refused, with a wait unlikely ones too", () => {
  const { decide } = setUp(UNEVEN);
  const waiting = [{ stageId: "s", waitMilliseconds: 100 }];
  expect(decide({ remainingMilliseconds: 100 }).run).toEqual(true);
  const verdict = (request: Partial<AdmissionRequest>): string => {
    const decision = decide({ ...request, repeatable: false });
    if (decision.run) return "run";
    expect(decision.retryAfterMilliseconds >= 25).toEqual(true);
    return decision.reason;
  };
  const late = "cannot_finish_in_time";
  expect(verdict({ remainingMilliseconds: 99 })).toEqual(late);
  expect(verdict({ remainingMilliseconds: 0, isProbe: true })).toEqual(late);
  expect(verdict({ remainingMilliseconds: 500, stages: waiting })).toEqual(
    late,
  );
  expect(verdict({ remainingMilliseconds: 950, stages: waiting })).toEqual(
    "run",
  );
  expect(verdict({ remainingMilliseconds: 850, stages: waiting })).toEqual(
    "overloaded",
  );
  const point = "stage";
  expect(verdict({ remainingMilliseconds: 50, point, isProbe: true })).toEqual(
    "run",
  );
});

test("an estimate distorted by a slow minute recovers", () => {
  // Guards against a pipeline that refuses everything while its endpoints are
  // idle: its stage hangs for a while and is fast again, but refused requests
  // are not observed, so the estimate never changes.
  const { decide, estimator } = setUp([5_000, 5_000, 5_000]);
  let firstRun: number | undefined;
  for (let now = 0; now < 61_000; now += 500) {
    expect(decide({ repeatable: false }, now).run).toEqual(
      firstRun !== undefined,
    );
    if (!decide({}, now).run) continue;
    firstRun ??= now;
    estimator.observe("p", "s", { milliseconds: 100, now });
  }
  // A probe corrects it before the slow samples leave the window.
  expect(firstRun).toEqual(30_000);
});

test("a stage budget reserves the likely time of later stages", () => {
  const stage = (p50: number, p95: number): StageTimes => {
    return { samples: 9, minimum: p50, p50, p95, p99: p95 };
  };
  const [own, later] = [stage(50, 100), [stage(200, 230), stage(100, 140)]];
  expect(stageBudget(1_000, { own, later })).toEqual(650);
  expect(stageBudget(225, { own, later })).toEqual(50);
  expect(stageBudget(-1, { own, later })).toEqual(0);
  expect(stageBudget(700, { own: undefined, later: [undefined] })).toEqual(700);
});
