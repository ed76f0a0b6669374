import { expect } from "earl";
import { test } from "node:test";
import { ServiceRetryBudget } from "../../retries/service_retry_budget.ts";

function createBudget(): ServiceRetryBudget {
  return new ServiceRetryBudget({
    ratio: 0.2,
    slack: 50,
    windowMilliseconds: 10_000,
  });
}

function spendAll(budget: ServiceRetryBudget, senderCount: number): number {
  let spent = 0;
  while (
    budget.trySpend("s", { count: 1, cause: "failed", senderCount, now: 1_000 })
  ) spent++;
  return spent;
}

test("six daemons together stay within the fleet's slack", () => {
  const daemons = Array.from({ length: 6 }, createBudget);
  const spent = daemons.reduce((sum, budget) => sum + spendAll(budget, 6), 0);
  expect(spent <= 50).toEqual(true);
  expect(spent >= 24).toEqual(true);
});

test("each request in the window allows its share of retries", () => {
  const budget = createBudget();
  for (let count = 0; count < 100; count++) budget.recordRequest("s", 500);
  expect(spendAll(budget, 6)).toEqual(25);
});

test("spent retries are available again only after the window", () => {
  const budget = createBudget();
  const spent = spendAll(budget, 1);
  expect(
    budget.trySpend("s", {
      count: 1,
      cause: "failed",
      senderCount: 1,
      now: 9_000,
    }),
  )
    .toEqual(false);
  expect(
    budget.trySpend("s", {
      count: spent,
      cause: "failed",
      senderCount: 1,
      now: 13_000,
    }),
  )
    .toEqual(true);
});
