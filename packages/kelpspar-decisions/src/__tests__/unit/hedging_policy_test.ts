import type { HedgeRequest } from "../../hedging/mod.ts";
import { test } from "node:test";
import { expect } from "earl";
import { HedgePolicy } from "../../hedging/mod.ts";

const LATE: HedgeRequest = {
  serviceId: "rank",
  effect: "none",
  isStreaming: false,
  elapsedMilliseconds: 100,
  remainingMilliseconds: 1_000,
  utilization: 0.5,
  waiting: 0,
  otherEndpoints: 1,
};

function createWarmPolicy(calls: number): HedgePolicy {
  const policy = new HedgePolicy();
  for (let call = 0; call < calls; call++) {
    policy.recordCall("rank", 0);
    policy.recordLatency("rank", { milliseconds: call % 100, now: 0 });
  }
  return policy;
}

test("only late, repeatable calls are hedged, below saturation", () => {
  const policy = createWarmPolicy(100);
  const cases: [Partial<HedgeRequest>, string][] = [
    [{ effect: "once" }, "not_repeatable"],
    [{ isStreaming: true }, "streaming"],
    [{ serviceId: "other" }, "too_few_samples"],
    [{ elapsedMilliseconds: 85 }, "not_late"],
    [{ remainingMilliseconds: 40 }, "no_time_left"],
    [{ otherEndpoints: 0 }, "no_other_endpoint"],
    [{ utilization: 0.8 }, "saturated"],
    [{ waiting: 1 }, "saturated"],
  ];
  for (const [change, obstacle] of cases) {
    const decision = policy.tryHedge({ ...LATE, ...change }, 0);
    expect<unknown>(decision).toEqual({ hedge: false, obstacle });
  }
  expect(policy.tryHedge(LATE, 0).hedge).toEqual(true);
  expect(createWarmPolicy(49).tryHedge(LATE, 0).hedge).toEqual(false);
});

test("hedges stay within their share of calls, and their cost is counted", () => {
  // Guards against extra load on a service that slows down: all calls exceed
  // the previous p95 at once and would all be hedged without a budget.
  const policy = createWarmPolicy(100);
  for (let now = 0; now < 50_000; now += 20) {
    policy.recordCall("rank", now);
    if (!policy.tryHedge(LATE, now).hedge) continue;
    const winner = now < 25_000 ? "hedge" : "first";
    policy.recordWinner("rank", { winner, lostRunnerMilliseconds: 30 });
  }
  const { calls, hedges, wins, lostRunnerMilliseconds } = policy.cost("rank");
  expect(calls).toEqual(2_600);
  expect(hedges > 50 && hedges <= 0.03 * calls).toEqual(true);
  expect(wins > 0 && wins < hedges).toEqual(true);
  expect(lostRunnerMilliseconds).toEqual(30 * hedges);
});
