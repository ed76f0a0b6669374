import type { ReportedEra, TableStore } from "../../tables/table_store.ts";
import { expect } from "earl";
import { REPORT_LIFETIME_MILLISECONDS } from "kelpspar-decisions/quarantine";
import { ManualTimer, SeededRandom } from "kelpspar-shared";
import { test } from "node:test";
import { Quarantine } from "../../quarantine/quarantine.ts";
import { QuarantineRows } from "../../quarantine/quarantine_rows.ts";
import { StoreEra } from "../../tables/store_era.ts";

const TABLE = "quarantine";
const MARKER = { table: "daemons", key: "quarantine" };

/** A store with one table; `era` rises when it is restored from a copy. */
class OneTable implements TableStore {
  readonly rows = new Map<string, string>();
  /** Keys of the rows of other tables. */
  readonly otherKeys = new Set<string>();
  era: ReportedEra = 1;
  isAway = false;
  reads = 0;
  writes = 0;

  readTable(): ReturnType<TableStore["readTable"]> {
    this.reads++;
    if (this.isAway) return Promise.reject(new Error("away"));
    const rows = [...this.rows].map(([key, text]) => ({
      key,
      text,
      version: 1,
      isRemoved: false,
    }));
    return Promise.resolve({ rows, version: 1, era: this.era });
  }

  readFeed(): ReturnType<TableStore["readFeed"]> {
    return Promise.reject(new Error("This store has no feed"));
  }

  write(
    table: string,
    key: string,
    text: string | undefined,
  ): Promise<ReportedEra> {
    this.writes++;
    if (this.isAway) return Promise.reject(new Error("away"));
    if (table !== TABLE) {
      if (text === undefined) this.otherKeys.delete(key);
      else this.otherKeys.add(key);
    } else if (text === undefined) this.rows.delete(key);
    else this.rows.set(key, text);
    return Promise.resolve(this.era);
  }
}

interface World {
  readonly timer: ManualTimer;
  readonly era: StoreEra;
  readonly quarantine: Quarantine;
  readonly messages: string[];
  readonly quarantineRows: QuarantineRows;
  /** Stops reading and writing rows. */
  readonly teardown: () => void;
}

/** Creates a daemon's quarantine with a store that all daemons share. */
function startDaemon(
  store: TableStore,
  marker?: typeof MARKER,
): World {
  const timer = new ManualTimer();
  const messages: string[] = [];
  const note = (message: string): void => void messages.push(message);
  const log = { info: note, warn: note };
  const era = new StoreEra({ timer, anomalies: { note: () => {} } });
  const quarantine = new Quarantine({ timer, log });
  quarantine.register();
  const quarantineRows = new QuarantineRows({
    store,
    era,
    table: TABLE,
    ...(marker === undefined ? {} : { marker }),
    quarantine,
    timer,
    random: new SeededRandom(1),
    log,
  });
  const teardown = quarantineRows.register();
  return { timer, era, quarantine, messages, quarantineRows, teardown };
}

function crash(world: World, ...crashes: readonly string[]): void {
  for (const id of crashes) {
    world.quarantine.reportCrash({
      fingerprint: "p",
      crash: id,
      ranMilliseconds: 90,
    });
  }
}

// Guards against losing poison requests when the whole fleet terminates.
test("a daemon without peers quarantines a stored request after one crash", async () => {
  const store = new OneTable();
  const first = startDaemon(store);
  crash(first, "1", "2", "3");
  await first.timer.settle();
  const second = startDaemon(store);
  crash(second, "4");
  await second.timer.settle();
  expect(second.quarantine.has("p")).toEqual(true);
});

// Guards against unnecessary store calls by every daemon.
test("the store is not called until a crash is detected", async () => {
  const store = new OneTable();
  const world = startDaemon(store);
  await world.timer.advance(60_000);
  expect(store.reads + store.writes).toEqual(0);
  crash(world, "1", "2", "3", "4");
  await world.timer.settle();
  expect([store.reads, store.writes]).toEqual([1, 1]);
});

// Guards against outdated rows in a daemon that no other daemon reaches.
test("an isolated daemon reads the table again after its next crash", async () => {
  const store = new OneTable();
  const isolated = startDaemon(store);
  isolated.quarantine.reportCrash({
    fingerprint: "other",
    crash: "0",
    ranMilliseconds: undefined,
  });
  await isolated.timer.advance(5_000);
  const first = startDaemon(store);
  crash(first, "1", "2", "3");
  await first.timer.settle();
  crash(isolated, "4");
  await isolated.timer.settle();
  expect(isolated.quarantine.has("p")).toEqual(true);
});

// Guards against one read for each request that a crash affects.
test("crashes in quick succession share a read, with one more later", async () => {
  const store = new OneTable();
  const world = startDaemon(store);
  for (let index = 0; index < 20; index++) {
    world.quarantine.reportCrash({
      fingerprint: `f${index}`,
      crash: "1",
      ranMilliseconds: undefined,
    });
    await world.timer.advance(20);
  }
  await world.timer.advance(3_000);
  expect(store.reads).toEqual(2);
  store.isAway = true;
  crash(world, "2");
  await world.timer.advance(10_000);
  crash(world, "3");
  await world.timer.advance(10_000);
  // One call for each delay of 2 s, regardless of the number of crashes.
  expect(store.reads <= 2 + 11).toEqual(true);
});

// Guards against losing rows while the store is down.
test("rows are written once the store is available again", async () => {
  const store = new OneTable();
  store.isAway = true;
  const world = startDaemon(store);
  crash(world, "1", "2", "3");
  await world.timer.advance(5_000);
  expect(store.rows.size).toEqual(0);
  store.isAway = false;
  await world.timer.advance(2_000);
  expect([...store.rows.keys()]).toEqual(["p"]);
});

// Guards against store calls of a daemon that no longer follows the store.
test("the teardown stops calls that are retried", async () => {
  const store = new OneTable();
  store.isAway = true;
  const world = startDaemon(store);
  crash(world, "1", "2", "3");
  await world.timer.settle();
  const calls = store.reads + store.writes;
  expect(calls).toEqual(2);
  world.teardown();
  await world.timer.advance(60_000);
  expect(store.reads + store.writes).toEqual(calls);
});

// Guards against a store that is restored from a copy without the row.
test("a row that a restored store lost is rewritten", async () => {
  const store = new OneTable();
  const world = startDaemon(store);
  crash(world, "1", "2", "3");
  await world.timer.settle();
  store.rows.clear();
  store.era = 2;
  world.era.checkAnswer(2, world.timer.now());
  await world.timer.advance(2_000);
  expect([...store.rows.keys()]).toEqual(["p"]);
});

// Guards against requests that stay quarantined after they were cleared.
test("the row of a released request is removed", async () => {
  const store = new OneTable();
  const world = startDaemon(store);
  crash(world, "1", "2", "3");
  await world.timer.settle();
  world.quarantine.served("p");
  await world.timer.settle();
  expect(world.quarantine.has("p")).toEqual(false);
  expect(store.rows.size).toEqual(0);
});

// Guards against rows that outlive the crash reports in them.
test("the row of a request is removed once its crash reports expire", async () => {
  const store = new OneTable();
  const world = startDaemon(store);
  crash(world, "1", "2", "3");
  await world.timer.settle();
  expect(store.rows.size).toEqual(1);
  await world.timer.advance(REPORT_LIFETIME_MILLISECONDS + 120_000);
  expect(world.quarantine.size).toEqual(0);
  expect(store.rows.size).toEqual(0);
});

// Guards against a malformed row that hides all others.
test("a malformed row is logged and skipped", async () => {
  const store = new OneTable();
  const first = startDaemon(store);
  crash(first, "1", "2", "3");
  await first.timer.settle();
  store.rows.set("foreign", "no JSON");
  store.rows.set("other", '{"reports":7}');
  const second = startDaemon(store);
  crash(second, "4");
  await second.timer.settle();
  expect(second.quarantine.has("p")).toEqual(true);
  expect(
    second.messages.filter((message) => message === "invalid quarantine row")
      .length,
  ).toEqual(2);
});

// Guards against daemons that start together and send a request that the
// daemons before them had quarantined.
test("a daemon that finds the marker quarantines a stored request", async () => {
  const store = new OneTable();
  const first = startDaemon(store, MARKER);
  expect(store.otherKeys.size).toEqual(0);
  crash(first, "1", "2", "3");
  await first.timer.settle();
  expect([...store.otherKeys]).toEqual([MARKER.key]);
  const second = startDaemon(store, MARKER);
  second.quarantineRows.handleMarker();
  await second.timer.settle();
  expect(second.quarantine.has("p")).toEqual(true);
});

// Guards against rows that stay because the daemons that wrote them are gone.
test("a daemon removes the rows that it read, and the marker, with the quarantine", async () => {
  const store = new OneTable();
  const first = startDaemon(store, MARKER);
  crash(first, "1", "2", "3");
  await first.timer.settle();
  first.teardown();
  const second = startDaemon(store, MARKER);
  second.quarantineRows.handleMarker();
  await second.timer.settle();
  await second.timer.advance(REPORT_LIFETIME_MILLISECONDS + 120_000);
  expect([store.rows.size, store.otherKeys.size]).toEqual([0, 0]);
});
