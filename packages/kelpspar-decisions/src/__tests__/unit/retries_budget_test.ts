import { test } from "node:test";
import { expect } from "earl";
import fc from "fast-check";
import { SeededRandom } from "kelpspar-shared";
import { RetryBudget, retryDelayMilliseconds } from "../../retries/mod.ts";

const event = fc.record({
  isRetry: fc.boolean(),
  accountId: fc.constantFrom("a", "b"),
  serviceId: fc.constantFrom("rank", "generate"),
  wait: fc.oneof(fc.nat({ max: 300 }), fc.nat({ max: 30_000 })),
});

test("the budget matches a recount of the window", () => {
  fc.assert(
    fc.property(
      fc.array(event, { minLength: 30, maxLength: 300 }),
      (events) => {
        const budget = new RetryBudget({ share: 0.3, floor: 1 });
        const past: (typeof events[number] & { at: number })[] = [];
        let now = 0;
        for (const step of events) {
          now += step.wait;
          const recent = past.filter(({ at }) =>
            Math.floor(at / 1_000) > Math.floor(now / 1_000) - 10
          );
          const isWithinBudget = (name: "accountId" | "serviceId"): boolean => {
            const matching = recent.filter((other) =>
              other[name] === step[name]
            );
            const retries = matching.filter(({ isRetry }) => isRetry).length;
            return retries + 1 <= 1 + 0.3 * (matching.length - retries);
          };
          const isAllowed = isWithinBudget("accountId") &&
            isWithinBudget("serviceId");
          expect(budget.allows(step, now)).toEqual(isAllowed);
          if (!step.isRetry) budget.recordSuccess(step, now);
          else expect(budget.trySpend(step, now)).toEqual(isAllowed);
          if (!step.isRetry || isAllowed) past.push({ ...step, at: now });
        }
      },
    ),
    { seed: 1, numRuns: 200 },
  );
});

test("retries at four failing stages don't multiply the calls", () => {
  // Guards against a retry storm: every stage fails half of its calls, and
  // retries without a budget make 2 x 2 x 2 x 2 calls for one request.
  const budget = new RetryBudget();
  const random = new SeededRandom(1);
  let [calls, retries] = [0, 0];
  for (let now = 0; now < 60_000; now += 10) {
    for (const serviceId of ["encode", "find", "rank", "generate"]) {
      const key = { accountId: "a", serviceId };
      calls++;
      while (random.next() < 0.5 && budget.trySpend(key, now)) retries++;
      if (random.next() < 0.5) budget.recordSuccess(key, now);
    }
  }
  expect(retries > 0 && retries <= 0.06 * calls).toEqual(true);
});

test("the retry delay of a rejected caller is jittered, doubled and bounded", () => {
  const random = new SeededRandom(1);
  const delays = Array.from({ length: 500 }, () => {
    return retryDelayMilliseconds(100, { random, consecutiveFailures: 2 });
  });
  expect(Math.min(...delays) >= 200 && Math.max(...delays) <= 600).toEqual(
    true,
  );
  expect(new Set(delays).size > 200).toEqual(true);
  expect(retryDelayMilliseconds(1e9, { random }) <= 45_000).toEqual(true);
  expect(retryDelayMilliseconds(0, { random }) >= 25).toEqual(true);
});
