import type { StoreAnswer } from "../../tables/table_store.ts";
import { expect } from "earl";
import { ManualTimer, SeededRandom } from "kelpspar-shared";
import { test } from "node:test";
import { MissingEntryGracePeriod } from "../../endpoints/missing_entry_grace_period.ts";
import { SharedTables } from "../../tables/shared_tables.ts";
import { StoreEra } from "../../tables/store_era.ts";

/** An answer that waits in the socket of a daemon that is paused. */
const ANSWER_MILLISECONDS = 4_000;
const ANSWER: StoreAnswer = { rows: [], version: 5, era: "missing" };

// Guards against a list of seconds ago that counts as new, so that a daemon that was paused concludes a version from it.
test("a list is confirmed as of the store's call, not as of the end of a pause", async () => {
  const timer = new ManualTimer();
  const ignore = (): void => {};
  const log = { info: ignore, warn: ignore };
  let confirmedAt: number | undefined;
  const tables = new SharedTables({
    store: {
      readTable: () =>
        new Promise((resolve) => {
          timer.registerTimeout(() => resolve(ANSWER), ANSWER_MILLISECONDS);
        }),
      readFeed: () => new Promise(ignore),
      write: () => Promise.resolve("missing"),
    },
    era: new StoreEra({ timer, anomalies: { note: ignore } }),
    timer,
    random: new SeededRandom(1),
    log,
    anomalies: { note: ignore },
    gracePeriod: new MissingEntryGracePeriod({
      drainMilliseconds: 3_000,
      contactMilliseconds: 3_000,
      sendMilliseconds: 300,
    }),
    relayTimes: undefined,
    client: { follow: () => new Promise(ignore) },
    plan: () => ({ isShared: false, isReader: true, sources: [] }),
    reportedTables: [],
    onConfirmed: (at) => confirmedAt = at,
  });
  tables.add({
    table: "servers",
    isRelayed: true,
    isFreshnessProbe: true,
    times: {
      waitMilliseconds: 200,
      pollIntervalMilliseconds: 300,
      maximumRetryDelayMilliseconds: 300,
    },
    applyTable: ignore,
    applyChanges: ignore,
  });
  const startedAt = timer.now();
  const stop = tables.register();
  await timer.advance(ANSWER_MILLISECONDS + 100);
  stop();
  expect(confirmedAt).toEqual(startedAt);
});
