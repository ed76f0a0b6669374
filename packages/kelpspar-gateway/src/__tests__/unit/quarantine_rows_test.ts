import type { EraWord, TableStore } from "../../tables/table_store.ts";
import { expect } from "earl";
import { REPORT_LIFETIME_MILLISECONDS } from "kelpspar-decisions/quarantine";
import { ManualTimer, SeededRandom } from "kelpspar-shared";
import { test } from "node:test";
import { Quarantine } from "../../quarantine/quarantine.ts";
import { QuarantineRows } from "../../quarantine/quarantine_rows.ts";
import { StoreEra } from "../../tables/store_era.ts";

const TABLE = "quarantine";

/** One table of a store; `era` rises when it comes back from an older copy. */
class OneTable implements TableStore {
  readonly rows = new Map<string, string>();
  era: EraWord = 1;
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
    return Promise.reject(new Error("Not followed"));
  }

  write(_: string, key: string, text: string | undefined): Promise<EraWord> {
    this.writes++;
    if (this.isAway) return Promise.reject(new Error("away"));
    if (text === undefined) this.rows.delete(key);
    else this.rows.set(key, text);
    return Promise.resolve(this.era);
  }
}

interface World {
  readonly timer: ManualTimer;
  readonly era: StoreEra;
  readonly quarantine: Quarantine;
  readonly messages: string[];
}

/** A daemon's quarantine over a store; all daemons are given the same one. */
function startDaemon(store: TableStore): World {
  const timer = new ManualTimer();
  const messages: string[] = [];
  const note = (message: string): void => void messages.push(message);
  const log = { info: note, warn: note };
  const era = new StoreEra({ timer, anomalies: { note: () => {} } });
  const quarantine = new Quarantine({ timer, log });
  quarantine.register();
  new QuarantineRows({
    store,
    era,
    table: TABLE,
    quarantine,
    timer,
    random: new SeededRandom(1),
    log,
  }).register();
  return { timer, era, quarantine, messages };
}

function crash(world: World, ...crashes: readonly string[]): void {
  for (const one of crashes) {
    world.quarantine.crashed({
      fingerprint: "p",
      crash: one,
      ranMilliseconds: 90,
    });
  }
}

// Guards against a fleet that forgets poison requests when all of it ends.
test("a daemon that knows nobody holds a stored request after one crash", async () => {
  const store = new OneTable();
  const first = startDaemon(store);
  crash(first, "1", "2", "3");
  await first.timer.settle();
  const second = startDaemon(store);
  crash(second, "4");
  await second.timer.settle();
  expect(second.quarantine.holds("p")).toEqual(true);
});

// Guards against calls that every daemon pays for on calm days.
test("the store is asked for nothing until a crash is seen", async () => {
  const store = new OneTable();
  const world = startDaemon(store);
  await world.timer.advance(60_000);
  expect(store.reads + store.writes).toEqual(0);
  crash(world, "1", "2", "3", "4");
  await world.timer.settle();
  expect([store.reads, store.writes]).toEqual([1, 1]);
});

// Guards against a daemon that no other reaches, and that read long before.
test("a daemon that hears nobody reads again with its next crash", async () => {
  const store = new OneTable();
  const alone = startDaemon(store);
  alone.quarantine.crashed({
    fingerprint: "other",
    crash: "0",
    ranMilliseconds: undefined,
  });
  await alone.timer.advance(5_000);
  const first = startDaemon(store);
  crash(first, "1", "2", "3");
  await first.timer.settle();
  crash(alone, "4");
  await alone.timer.settle();
  expect(alone.quarantine.holds("p")).toEqual(true);
});

// Guards against a read for each request of a crash.
test("crashes that come together are one read, and one more later", async () => {
  const store = new OneTable();
  const world = startDaemon(store);
  for (let index = 0; index < 20; index++) {
    world.quarantine.crashed({
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
  // One call for each pause of 2 s, however many crashes ask for it.
  expect(store.reads <= 2 + 11).toEqual(true);
});

// Guards against rows that are lost while the store is away.
test("rows are written once the store is back", async () => {
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

// Guards against a store that comes back from a copy without the row.
test("a row that a restored store lost is written again", async () => {
  const store = new OneTable();
  const world = startDaemon(store);
  crash(world, "1", "2", "3");
  await world.timer.settle();
  store.rows.clear();
  store.era = 2;
  world.era.answered(2, world.timer.now());
  await world.timer.advance(2_000);
  expect([...store.rows.keys()]).toEqual(["p"]);
});

// Guards against requests that stay held although they were cleared.
test("the row of a released request is removed", async () => {
  const store = new OneTable();
  const world = startDaemon(store);
  crash(world, "1", "2", "3");
  await world.timer.settle();
  world.quarantine.served("p");
  await world.timer.settle();
  expect(world.quarantine.holds("p")).toEqual(false);
  expect(store.rows.size).toEqual(0);
});

// Guards against rows that outlive what they say.
test("the row of a request is removed once its crashes are forgotten", async () => {
  const store = new OneTable();
  const world = startDaemon(store);
  crash(world, "1", "2", "3");
  await world.timer.settle();
  expect(store.rows.size).toEqual(1);
  await world.timer.advance(REPORT_LIFETIME_MILLISECONDS + 120_000);
  expect(world.quarantine.size).toEqual(0);
  expect(store.rows.size).toEqual(0);
});

// Guards against one foreign row that hides all others.
test("a row of another form is logged and left out", async () => {
  const store = new OneTable();
  const first = startDaemon(store);
  crash(first, "1", "2", "3");
  await first.timer.settle();
  store.rows.set("foreign", "no JSON");
  store.rows.set("other", '{"reports":7}');
  const second = startDaemon(store);
  crash(second, "4");
  await second.timer.settle();
  expect(second.quarantine.holds("p")).toEqual(true);
  expect(
    second.messages.filter((one) => one === "quarantine row not understood")
      .length,
  ).toEqual(2);
});
