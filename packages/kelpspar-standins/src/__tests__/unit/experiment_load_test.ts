import type { LoadPlan } from "../../experiments/load/load_plan.ts";
import { expect } from "earl";
import { test } from "node:test";
import { expectAnswer } from "../../experiments/load/expect_answer.ts";
import { planRequests } from "../../experiments/load/plan_requests.ts";
import { engineAnswer } from "../../endpoint/engine/engine_answer.ts";
import { plainAnswer } from "../../endpoint/plain/plain_answer.ts";

const PLAN: LoadPlan = {
  requestsPerSecond: 100,
  seconds: 40,
  warmUpSeconds: 10,
  onceShare: 0.2,
  tokens: [8, 24],
  deadlineMilliseconds: 3_000,
};
const OPTIONS = { seed: 7, availabilityZones: ["a", "b", "c"] };

function isNear(value: number, wanted: number, share: number): boolean {
  return Math.abs(value - wanted) <= wanted * share;
}

test("a seed gives the same requests, another seed different ones", () => {
  const first = planRequests(PLAN, OPTIONS);
  expect(planRequests(PLAN, OPTIONS)).toEqual(first);
  expect(planRequests(PLAN, { ...OPTIONS, seed: 8 })[0]?.at).not.toEqual(
    first[0]?.at,
  );
  const times = first.map(({ at }) => at);
  expect(times).toEqual([...times].sort((left, right) => left - right));
  expect(new Set(first.map(({ token }) => token)).size).toEqual(first.length);
});

test("rates follow the shares, and a factor applies only in its interval", () => {
  const factor = (account: string, seconds: number): number =>
    account === "large" && seconds >= 10 && seconds < 20 ? 8 : 1;
  const requests = planRequests({ ...PLAN, factor }, OPTIONS);
  const count = (account: string, from: number, to: number): number =>
    requests.filter((request) => {
      const seconds = request.at / 1_000 - PLAN.warmUpSeconds;
      return request.account === account && seconds >= from && seconds < to;
    }).length;
  expect(isNear(count("large", 10, 20), 60 * 8 * 10, 0.05)).toEqual(true);
  expect(isNear(count("large", 20, 40), 60 * 20, 0.1)).toEqual(true);
  expect(isNear(count("small-2", 0, 40), 10 * 40, 0.15)).toEqual(true);
  const measured = requests.filter(({ isMeasured }) => isMeasured);
  expect(measured.every(({ at }) => at >= 10_000)).toEqual(true);
});

test("the expected answer applies the stand-ins stage by stage", () => {
  const input = "When? token=small-1.3 tokens=9";
  const ranked = plainAnswer(
    "reranker",
    plainAnswer("retriever", plainAnswer("encoder", input)),
  );
  const draft = engineAnswer("writer", ranked, 9);
  expect(expectAnswer("plan", { input, tokens: 9 })).toEqual(draft);
  const booked = expectAnswer("booking", { input, tokens: 9 });
  expect(booked).toEqual(plainAnswer("booking", draft));
  expect(booked.includes("token=small-1.3")).toEqual(true);
});
