import { test } from "node:test";
import { expect } from "earl";
import fc from "fast-check";
import { SeededRandom } from "kelpspar-shared";
import { comebackMilliseconds, RetryBudget } from "../../retries/mod.ts";

const event = fc.record({
  isRetry: fc.boolean(),
  accountId: fc.constantFrom("a", "b"),
  serviceId: fc.constantFrom("rank", "generate"),
  wait: fc.oneof(fc.nat({ max: 300 }), fc.nat({ max: 30_000 })),
});

test("the budget allows what a recount of the window allows", () => {
  fc.assert(
    fc.property(
      fc.array(event, { minLength: 30, maxLength: 300 }),
      (events) => {
        const budget = new RetryBudget({ share: 0.3, floor: 1 });
        const past: (typeof events[number] & { at: number })[] = [];
        let now = 0;
        for (const one of events) {
          now += one.wait;
          const recent = past.filter(({ at }) =>
            Math.floor(at / 1_000) > Math.floor(now / 1_000) - 10
          );
          const hasRoom = (name: "accountId" | "serviceId"): boolean => {
            const mine = recent.filter((other) => other[name] === one[name]);
            const retries = mine.filter(({ isRetry }) => isRetry).length;
            return retries + 1 <= 1 + 0.3 * (mine.length - retries);
          };
          const isAllowed = hasRoom("accountId") && hasRoom("serviceId");
          expect(budget.allows(one, now)).toEqual(isAllowed);
          if (!one.isRetry) budget.recordSuccess(one, now);
          else expect(budget.trySpend(one, now)).toEqual(isAllowed);
          if (!one.isRetry || isAllowed) past.push({ ...one, at: now });
        }
      },
    ),
    { seed: 1, numRuns: 200 },
  );
});

test("four stages that fail together don't multiply their calls", () => {
  // Symptom: a fleet that slows down gets several times its usual calls.
  // Sequence: every stage fails half of its calls; each is retried.
  // Cause: retries without a budget, 2 x 2 x 2 x 2 calls for a request.
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

test("a refused caller's wait is jittered, doubled and bounded", () => {
  const random = new SeededRandom(1);
  const waits = Array.from({ length: 500 }, () => {
    return comebackMilliseconds(100, { random, failuresInARow: 2 });
  });
  expect(Math.min(...waits) >= 200 && Math.max(...waits) <= 600).toEqual(true);
  expect(new Set(waits).size > 200).toEqual(true);
  expect(comebackMilliseconds(1e9, { random }) <= 45_000).toEqual(true);
  expect(comebackMilliseconds(0, { random }) >= 25).toEqual(true);
});
