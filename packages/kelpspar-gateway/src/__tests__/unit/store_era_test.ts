import type { EraChange } from "../../tables/store_era.ts";
import { expect } from "earl";
import { ManualTimer } from "kelpspar-shared";
import { test } from "node:test";
import { StoreEra } from "../../tables/store_era.ts";

interface Followed {
  readonly era: StoreEra;
  readonly changes: readonly EraChange[];
  readonly anomalies: readonly string[];
  readonly timer: ManualTimer;
}

function createEra(): Followed {
  const timer = new ManualTimer();
  const anomalies: string[] = [];
  const changes: EraChange[] = [];
  const era = new StoreEra({
    timer,
    anomalies: { note: (anomaly) => anomalies.push(anomaly) },
  });
  era.registerListener((change) => changes.push(change));
  return { era, changes, anomalies, timer };
}

test("the first era that is told voids nothing, a rise does", () => {
  const { era, changes } = createEra();
  expect(era.answered(4, 0)).toEqual("valid");
  expect(changes).toEqual([]);
  expect(era.answered(5, 0)).toEqual("valid");
  expect(changes).toEqual([{ before: 4, after: 5, source: "store" }]);
});

test("an answer of the era before counts for nothing", async () => {
  // A call that waited for a change was answered before the store went away,
  // and its answer arrived after one of the era that followed.
  const { era, changes, anomalies, timer } = createEra();
  era.answered(1, timer.now());
  await timer.advance(1_000);
  const startedAt = timer.now();
  await timer.advance(500);
  era.answered(2, timer.now());
  await timer.advance(100);
  expect(era.answered(1, startedAt)).toEqual("late");
  expect([era.current, changes.length, anomalies])
    .toEqual([2, 1, ["era_late_answer"]]);
});

test("a count of the store that went back is followed, and daemons' word of more is not", async () => {
  const { era, changes, anomalies, timer } = createEra();
  era.answered(9, timer.now());
  await timer.advance(1_000);
  expect(era.answered(3, timer.now())).toEqual("valid");
  await timer.advance(1_000);
  era.told(9);
  expect(era.current).toEqual(3);
  expect(changes.map(({ after }) => after)).toEqual([3]);
  expect(anomalies).toEqual(["era_fell", "era_denied"]);
});

test("daemons' word is taken, and their word of an earlier era is told apart", () => {
  const { era, changes } = createEra();
  era.answered(1, 0);
  expect(era.told(2)).toEqual("current");
  expect(changes).toEqual([{ before: 1, after: 2, source: "daemon" }]);
  expect(era.told(1)).toEqual("earlier");
  expect(era.told(undefined)).toEqual("earlier");
});

test("a store that tells no era is followed as it is", () => {
  const { era, anomalies } = createEra();
  expect(era.answered("missing", 0)).toEqual("valid");
  expect(era.told(null)).toEqual("current");
  expect(anomalies).toEqual([]);
  era.answered(1, 0);
  expect(era.answered("missing", 0)).toEqual("valid");
  expect(era.answered("invalid", 0)).toEqual("valid");
  expect(anomalies).toEqual(["era_missing", "era_invalid"]);
});
