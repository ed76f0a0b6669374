import { test } from "node:test";
import { expect } from "earl";
import fc from "fast-check";
import { CallCharge, CostEstimator } from "../../fairness/mod.ts";

test("an account is charged the cost of a call while it runs", () => {
  const costs = fc.integer({ min: 1, max: 900 });
  const waits = fc.array(fc.nat({ max: 80 }), { minLength: 1 });
  const claims = fc.integer({ min: -50, max: 5_000 });
  fc.assert(
    fc.property(costs, waits, claims, (chargedCost, steps, stated) => {
      const charge = new CallCharge({ chargedCost, startedAt: 0 });
      let [now, charged] = [0, chargedCost];
      for (const step of steps) {
        now += step;
        charged += charge.progress(now);
        expect(charged >= now - 50).toEqual(true);
      }
      charged += charge.finish(now, { runnerMilliseconds: stated });
      expect(charged).toEqual(stated >= 0 && stated < now ? stated : now);
      expect(charge.cost).toEqual(charged);
    }),
    { seed: 1 },
  );
});

test("a cost is estimated by account, else by stage, else by service", () => {
  const estimator = new CostEstimator({ defaultCost: 70 });
  const key = { serviceId: "s", pipelineId: "p", stageId: "g", accountId: "a" };
  const observe = (accountId: string, runnerMilliseconds: number): void => {
    const cost = { runnerMilliseconds, tokensIn: 2, tokensOut: 4 };
    estimator.observe({ ...key, accountId }, cost);
  };
  [10, 20, 30, 40, 50, Number.NaN].forEach((cost) => observe("a", cost));
  observe("b", 900);
  const learned = [{}, { accountId: "b" }, { stageId: "h" }, { serviceId: "t" }]
    .map((other) =>
      estimator.estimate({ ...key, ...other }).runnerMilliseconds
    );
  expect(learned).toEqual([30, 175, 175, 70]);
});
