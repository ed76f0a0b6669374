import { expect } from "earl";
import { test } from "node:test";
import { OriginFleet } from "../support/origin_fleet.ts";

const VERSIONS = ["v1", "v2"];
/** Until begun streams are on record. */
const RECORDING_MILLISECONDS = 500;
/** Longer than a stream lives. */
const LONG_AGO_MILLISECONDS = 61_000;
/** The users' target for a stream that can't go on. */
const REFUSAL_MILLISECONDS = 300;
/** The users' target: share of streams that go on. */
const RESUMED_SHARE = 0.9;
/** The platform's limits for all daemons together. */
const STORE_WRITES_PER_SECOND = 400;
const STORE_READS_PER_SECOND = 2_000;

async function startFleet(
  daemons: number,
  versions: readonly string[] = VERSIONS,
): Promise<OriginFleet> {
  const fleet = new OriginFleet();
  for (let index = 0; index < daemons; index++) {
    fleet.add(`d${index}`, index % 2 === 0 ? "a" : "b", versions);
  }
  // Until the versions are on record.
  await fleet.timer.advance(6_000);
  return fleet;
}

/** The version found for a stream; undefined if it isn't known. */
async function find(
  fleet: OriginFleet,
  daemonId: string,
  attemptId: string,
): Promise<string | undefined> {
  const lookup = await fleet.find(daemonId, attemptId);
  expect(lookup.tookMilliseconds < REFUSAL_MILLISECONDS).toEqual(true);
  return lookup.type === "known" ? lookup.origin.version : undefined;
}

/** Begins streams at all daemons in turn, half of them at each version. */
async function beginStreams(
  fleet: OriginFleet,
  count: number,
): Promise<readonly string[]> {
  const daemons = [...fleet.daemons.keys()];
  const attempts = Array.from({ length: count }, (_, index) => `s${index}`);
  for (const [index, attemptId] of attempts.entries()) {
    const version = VERSIONS[index % 2] ?? "";
    const daemonId = daemons[index % daemons.length] ?? "";
    await fleet.begin(daemonId, { attemptId, version });
  }
  await fleet.timer.advance(RECORDING_MILLISECONDS);
  return attempts;
}

/** Share of the streams that daemons find, all at their own version. */
async function foundShare(
  fleet: OriginFleet,
  attempts: readonly string[],
): Promise<number> {
  const daemons = [...fleet.daemons.keys()];
  let found = 0;
  for (const [index, attemptId] of attempts.entries()) {
    const daemonId = daemons[(index + 1) % daemons.length] ?? "";
    const version = await find(fleet, daemonId, attemptId);
    if (version === undefined) continue;
    expect(version).toEqual(VERSIONS[index % 2] ?? "");
    found++;
  }
  return found / attempts.length;
}

// Guards against streams whose version is lost with all daemons.
for (const daemons of [1, 8, 40]) {
  test(`streams are found after a loss of all ${daemons} daemons, twice`, async () => {
    const fleet = await startFleet(daemons);
    const attempts = await beginStreams(fleet, 40);
    for (let losses = 0; losses < 2; losses++) {
      fleet.restartAll(VERSIONS);
      await fleet.timer.advance(1_500);
      const share = await foundShare(fleet, attempts);
      expect(share >= RESUMED_SHARE).toEqual(true);
    }
  });
}

// Guards against a stream that waits for others before it is recorded.
test("a stream that began just before a loss of all daemons is found", async () => {
  const fleet = await startFleet(8);
  await fleet.begin("d0", { attemptId: "s", version: "v1" });
  await fleet.timer.advance(20);
  fleet.restartAll(VERSIONS);
  await fleet.timer.advance(1_500);
  expect(await find(fleet, "d1", "s")).toEqual("v1");
});

// Guards against the versions that are listed now being taken for all that were.
test("a version that left while no daemon ran may have begun a stream", async () => {
  const fleet = await startFleet(6, ["v1"]);
  fleet.restartAll(["v2"]);
  await fleet.timer.advance(1_500);
  expect(await find(fleet, "d0", "s")).toEqual(undefined);
  await fleet.begin("d1", { attemptId: "t", version: "v2" });
  expect(await find(fleet, "d2", "t")).toEqual("v2");
  await fleet.timer.advance(LONG_AGO_MILLISECONDS);
  expect(await find(fleet, "d0", "s")).toEqual("v2");
});

// Guards against a version that is forgotten after a second loss of all daemons.
test("a version that left before a loss of all daemons is remembered", async () => {
  const fleet = await startFleet(6);
  for (const daemonId of fleet.daemons.keys()) fleet.unlist(daemonId, "v1");
  await fleet.timer.advance(3_000);
  fleet.restartAll(["v2"]);
  await fleet.timer.advance(1_500);
  fleet.restartAll(["v2"]);
  expect(await find(fleet, "d0", "s")).toEqual(undefined);
});

// Guards against an endpoint that is found draining and counts as never there.
test("a version that is found draining may have begun a stream", async () => {
  const fleet = new OriginFleet();
  fleet.add("d0", "a", ["v2"]);
  fleet.list("d0", "v1", { isDraining: true });
  expect(await find(fleet, "d0", "s")).toEqual(undefined);
});

// Guards against a daemon that concludes from a table that it couldn't read.
test("streams are refused while the store is away, and go on after it", async () => {
  const fleet = await startFleet(6);
  const attempts = await beginStreams(fleet, 40);
  fleet.store.isAway = true;
  fleet.restartAll(["v2"]);
  await fleet.timer.advance(1_000);
  expect(await foundShare(fleet, attempts)).toEqual(0);
  fleet.store.isAway = false;
  await fleet.timer.advance(1_000);
  expect(await foundShare(fleet, attempts)).toEqual(1);
});

// Guards against streams of the time before a release that are never recorded.
test("streams that began with a single version are recorded with a second", async () => {
  const fleet = await startFleet(6, ["v1"]);
  await fleet.begin("d0", { attemptId: "s", version: "v1" });
  for (const daemonId of fleet.daemons.keys()) fleet.list(daemonId, "v2");
  await fleet.timer.advance(RECORDING_MILLISECONDS);
  fleet.restartAll(VERSIONS);
  expect(await find(fleet, "d3", "s")).toEqual("v1");
});

// Guards against a store restored from a copy that lacks the rows.
test("rows that a restored store lost are written again", async () => {
  const fleet = await startFleet(6);
  const attempts = await beginStreams(fleet, 40);
  fleet.store.restore();
  for (const { era } of fleet.daemons.values()) era.told(2);
  await fleet.timer.advance(2_000);
  fleet.restartAll(VERSIONS);
  await fleet.timer.advance(1_500);
  expect(await foundShare(fleet, attempts)).toEqual(1);
});

// Guards against rows that stay when their daemons and streams have ended.
test("rows of ended streams are removed, also those of killed daemons", async () => {
  const fleet = await startFleet(6);
  await beginStreams(fleet, 40);
  expect(fleet.store.rows("streams").length > 0).toEqual(true);
  await fleet.timer.advance(LONG_AGO_MILLISECONDS);
  expect(fleet.store.rows("streams")).toEqual([]);
  await beginStreams(fleet, 40);
  fleet.restartAll(VERSIONS);
  await fleet.timer.advance(3 * LONG_AGO_MILLISECONDS);
  expect(fleet.store.rows("streams")).toEqual([]);
});

// Guards against calls to the store that grow with the fleet.
for (const daemons of [8, 91]) {
  test(`${daemons} daemons stay inside the store's rates`, async () => {
    const fleet = await startFleet(daemons);
    const ids = [...fleet.daemons.keys()];
    const begin = (number: number): Promise<number> =>
      fleet.begin(ids[number % ids.length] ?? "", {
        attemptId: `s${number}`,
        version: VERSIONS[number % 2] ?? "",
      });
    fleet.store.writes = 0;
    const startedAt = fleet.timer.now();
    // Each stream takes a round trip, so that all daemons begin some.
    for (let number = 0; number < 2 * ids.length; number++) await begin(number);
    await fleet.timer.advance(RECORDING_MILLISECONDS);
    const seconds = (fleet.timer.now() - startedAt) / 1_000;
    const writes = fleet.store.writes;
    expect(writes > 0).toEqual(true);
    expect(writes / seconds <= STORE_WRITES_PER_SECOND / 4).toEqual(true);
    fleet.restartAll(VERSIONS);
    fleet.store.reads = 0;
    await fleet.timer.advance(1_000);
    const attempts = Array.from({ length: ids.length }, (_, at) => `s${at}`);
    await Promise.all(
      attempts.map((attemptId, index) =>
        fleet.find(ids[index] ?? "", attemptId)
      ),
    );
    expect(fleet.store.reads <= STORE_READS_PER_SECOND / 2).toEqual(true);
  });
}
