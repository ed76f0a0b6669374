import type { EraChange } from "../../tables/store_era.ts";
import { expect } from "earl";
import { ManualTimer } from "kelpspar-shared";
import { test } from "node:test";
import { StoreEra } from "../../tables/store_era.ts";

interface EraFixture {
  readonly era: StoreEra;
  readonly changes: readonly EraChange[];
  readonly anomalies: readonly string[];
  readonly timer: ManualTimer;
}

function createEra(): EraFixture {
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

test("a rise of the era is reported as a change, the first era is not", () => {
  const { era, changes } = createEra();
  expect(era.checkAnswer(4, 0)).toEqual("valid");
  expect(changes).toEqual([]);
  expect(era.checkAnswer(5, 0)).toEqual("valid");
  expect(changes).toEqual([{ before: 4, after: 5, source: "store" }]);
});

test("an answer of the previous era is discarded", async () => {
  // A call that waited for a change was answered before the store went down,
  // and its answer arrived after one of the next era.
  const { era, changes, anomalies, timer } = createEra();
  era.checkAnswer(1, timer.now());
  await timer.advance(1_000);
  const startedAt = timer.now();
  await timer.advance(500);
  era.checkAnswer(2, timer.now());
  await timer.advance(100);
  expect(era.checkAnswer(1, startedAt)).toEqual("late");
  expect([era.current, changes.length, anomalies])
    .toEqual([2, 1, ["era_late_answer"]]);
});

test("an era that falls at the store is accepted, and higher eras of daemons are rejected", async () => {
  const { era, changes, anomalies, timer } = createEra();
  era.checkAnswer(9, timer.now());
  await timer.advance(1_000);
  expect(era.checkAnswer(3, timer.now())).toEqual("valid");
  await timer.advance(1_000);
  era.told(9);
  expect(era.current).toEqual(3);
  expect(changes.map(({ after }) => after)).toEqual([3]);
  expect(anomalies).toEqual(["era_fell", "era_denied"]);
});

test("eras of daemons are accepted, and earlier eras are recognized", () => {
  const { era, changes } = createEra();
  era.checkAnswer(1, 0);
  expect(era.told(2)).toEqual("current");
  expect(changes).toEqual([{ before: 1, after: 2, source: "daemon" }]);
  expect(era.told(1)).toEqual("earlier");
  expect(era.told(undefined)).toEqual("earlier");
});

test("a store that reports no era is accepted", () => {
  const { era, anomalies } = createEra();
  expect(era.checkAnswer("missing", 0)).toEqual("valid");
  expect(era.told(null)).toEqual("current");
  expect(anomalies).toEqual([]);
  era.checkAnswer(1, 0);
  expect(era.checkAnswer("missing", 0)).toEqual("valid");
  expect(era.checkAnswer("invalid", 0)).toEqual("valid");
  expect(anomalies).toEqual(["era_missing", "era_invalid"]);
});
