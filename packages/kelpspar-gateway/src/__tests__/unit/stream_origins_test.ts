import { expect } from "earl";
import { SeededRandom } from "kelpspar-shared";
import { test } from "node:test";
import { rankRecorders } from "../../streams/recorder_rank.ts";
import { OriginFleet, SERVICE } from "../support/origin_fleet.ts";

const VERSIONS = ["v1", "v2"];
const ZONES = ["a", "b", "c"];
const STREAMS = 200;
/** Longer than a stream lives, so that daemons know all of its versions. */
const LONG_AGO_MILLISECONDS = 61_000;
/** The users' target for a stream that can't go on. */
const REFUSAL_MILLISECONDS = 300;
/** The users' target: share of streams that go on. */
const RESUMED_SHARE = 0.9;

function createFleet(
  daemons: number,
  options: { zones?: number; versions?: readonly string[] } = {},
): OriginFleet {
  const { zones = ZONES.length, versions = VERSIONS } = options;
  const fleet = new OriginFleet();
  for (let index = 0; index < daemons; index++) {
    fleet.add(`d${index}`, ZONES[index % zones] ?? "a", versions);
  }
  return fleet;
}

/** Begins streams at random daemons; returns each stream's daemon. */
async function beginStreams(
  fleet: OriginFleet,
  random: SeededRandom,
): Promise<readonly string[]> {
  const ids = [...fleet.daemons.keys()];
  const daemons: string[] = [];
  for (let index = 0; index < STREAMS; index++) {
    const daemonId = ids[random.nextInteger(ids.length)] ?? "d0";
    daemons.push(daemonId);
    const version = VERSIONS[index % 2] ?? "v1";
    await fleet.begin(daemonId, { attemptId: `s${index}`, version });
  }
  return daemons;
}

/** Share of the streams that daemons find, all at their own version. */
async function foundShare(
  fleet: OriginFleet,
  finders: readonly string[],
  streams: readonly number[],
): Promise<number> {
  let found = 0;
  for (const index of streams) {
    const finder = finders[index % finders.length] ?? "d0";
    const lookup = await fleet.find(finder, `s${index}`);
    expect(lookup.tookMilliseconds < REFUSAL_MILLISECONDS).toEqual(true);
    if (lookup.type !== "known") continue;
    expect(lookup.origin.version).toEqual(VERSIONS[index % 2] ?? "v1");
    found++;
  }
  return found / streams.length;
}

/** The version that a daemon finds for the stream "s"; undefined if unknown. */
async function versionFoundBy(
  fleet: OriginFleet,
  daemonId: string,
): Promise<string | undefined> {
  const lookup = await fleet.find(daemonId, "s");
  return lookup.type === "known" ? lookup.origin.version : undefined;
}

const ALL_STREAMS = Array.from({ length: STREAMS }, (_, index) => index);

// Guards against streams whose version died with the daemon that began them.
for (const daemons of [6, 30, 100]) {
  test(`streams of killed daemons are found among ${daemons} daemons`, async () => {
    for (const fault of ["refused", "silent"] as const) {
      const fleet = createFleet(daemons, { zones: 2 });
      const begunAt = await beginStreams(fleet, new SeededRandom(daemons));
      const killed = [...fleet.daemons.keys()].filter((_, index) =>
        index % 3 === 0
      );
      for (const daemonId of killed) fleet.setFault(daemonId, fault);
      const alive = [...fleet.daemons.keys()].filter((id) =>
        !killed.includes(id)
      );
      const lost = ALL_STREAMS.filter((index) =>
        killed.includes(begunAt[index] ?? "")
      );
      const share = await foundShare(fleet, alive, lost);
      expect(share >= RESUMED_SHARE).toEqual(true);
    }
  });
}

// Guards against streams whose version is known in one availability zone only.
test("streams of a zone that is gone are found in the others", async () => {
  for (const zones of [2, 3]) {
    const fleet = createFleet(12, { zones });
    await beginStreams(fleet, new SeededRandom(1));
    const alive: string[] = [];
    for (const { address } of fleet.daemons.values()) {
      if (address.zone === "a") fleet.setFault(address.daemonId, "silent");
      else alive.push(address.daemonId);
    }
    expect(await foundShare(fleet, alive, ALL_STREAMS)).toEqual(1);
  }
});

// Guards against holders that only the daemons of an earlier fleet would ask.
test("streams are found by a fleet that has grown or shrunk", async () => {
  for (const [before, now] of [[20, 30], [30, 20]] as const) {
    const fleet = createFleet(before);
    await beginStreams(fleet, new SeededRandom(before));
    for (let index = before; index < now; index++) {
      fleet.add(`d${index}`, ZONES[index % 3] ?? "a", VERSIONS);
    }
    for (let index = now; index < before; index++) {
      fleet.setFault(`d${index}`, "silent");
    }
    const view = Array.from({ length: now }, (_, index) => `d${index}`);
    for (const daemonId of view) fleet.setView(daemonId, view);
    const share = await foundShare(fleet, view, ALL_STREAMS);
    expect(share >= RESUMED_SHARE).toEqual(true);
  }
});

// Guards against messages in a fleet whose services have a single version.
test("a single version costs no messages and no wait", async () => {
  const fleet = createFleet(6, { versions: ["v1"] });
  await fleet.timer.advance(LONG_AGO_MILLISECONDS);
  expect(await fleet.begin("d0", { attemptId: "s", version: "v1" }))
    .toEqual(0);
  expect(await versionFoundBy(fleet, "d1")).toEqual("v1");
  expect(fleet.calls).toEqual(0);
  expect(fleet.store.rows("streams")).toEqual([]);
});

/** Daemons that ask others to call the store; recorders need fewer messages. */
function daemonsBesideRecorders(fleet: OriginFleet): readonly string[] {
  const daemons = [...fleet.daemons.values()].map(({ address }) => address);
  const [self, ...others] = daemons;
  if (self === undefined) return [];
  const recorders = rankRecorders({ self, others })
    .map(({ daemonId }) => daemonId);
  return [...fleet.daemons.keys()].filter((id) => !recorders.includes(id));
}

// Guards against messages that grow with the number of daemons.
test("a stream costs as many messages in a larger fleet", async () => {
  const counts: number[] = [];
  for (const daemons of [30, 100, 300]) {
    const fleet = createFleet(daemons);
    const [first = "", second = ""] = daemonsBesideRecorders(fleet);
    await fleet.begin(first, { attemptId: "s", version: "v1" });
    // Until the stream is recorded.
    await fleet.timer.advance(200);
    await fleet.find(second, "s");
    counts.push(fleet.calls);
  }
  expect(new Set(counts).size).toEqual(1);
});

// Guards against streams that began before a release and whose daemon died then.
test("streams that began with a single version are told when it gets a second", async () => {
  const fleet = createFleet(6, { versions: ["v1"] });
  await fleet.timer.advance(LONG_AGO_MILLISECONDS);
  await fleet.begin("d0", { attemptId: "s", version: "v1" });
  expect(fleet.calls).toEqual(0);
  for (const daemonId of fleet.daemons.keys()) fleet.list(daemonId, "v2");
  await fleet.timer.advance(10);
  fleet.setFault("d0", "silent");
  const lookup = await fleet.find("d1", "s");
  expect([lookup.type, lookup.type === "known" && lookup.origin.version])
    .toEqual(["known", "v1"]);
});

// Guards against a stream of a version that left which goes on at the last one.
test("a version that left recently may have begun a stream", async () => {
  const fleet = createFleet(6);
  await fleet.timer.advance(LONG_AGO_MILLISECONDS);
  for (const daemonId of fleet.daemons.keys()) fleet.unlist(daemonId, "v1");
  expect((await fleet.find("d1", "s")).type).toEqual("unknown");
  await fleet.timer.advance(LONG_AGO_MILLISECONDS);
  expect(await versionFoundBy(fleet, "d1")).toEqual("v2");
});

// Guards against a daemon that starts and doesn't know the versions before.
test("a daemon that just started asks which versions there were", async () => {
  const fleet = createFleet(3);
  for (const daemonId of fleet.daemons.keys()) fleet.unlist(daemonId, "v1");
  fleet.add("new", "a", ["v2"]);
  expect((await fleet.find("new", "s")).type).toEqual("unknown");
  const single = createFleet(3, { versions: ["v2"] });
  single.add("new", "a", ["v2"]);
  expect(await versionFoundBy(single, "new")).toEqual("v2");
});

// Guards against a first event that waits for daemons that don't answer.
test("the first event waits for two holders, and not long", async () => {
  const fleet = createFleet(4);
  expect(await fleet.begin("d0", { attemptId: "s", version: "v1" }))
    .toEqual(2);
  fleet.setFault("d1", "silent");
  expect(await fleet.begin("d0", { attemptId: "s", version: "v1" }))
    .toEqual(2);
  fleet.setFault("d2", "silent");
  expect(await fleet.begin("d0", { attemptId: "s", version: "v1" }))
    .toEqual(100);
});

// Guards against an earlier send, cut before its first event, that arrives late.
test("a later send of the same attempt replaces an earlier one", () => {
  const fleet = createFleet(1);
  const { origins } = fleet.daemons.get("d0") ?? {};
  const stream = { attemptId: "s", service: SERVICE, remainingMilliseconds: 9 };
  origins?.hold([{ ...stream, version: "v2", sends: 2 }]);
  origins?.hold([{ ...stream, version: "v1", sends: 1 }]);
  const route = { route: "route", services: [SERVICE] };
  expect(origins?.answer({ attemptId: "s", ...route }).origin?.version)
    .toEqual("v2");
});

// Guards against memory that grows with the streams of the past.
test("streams are forgotten after their deadline", async () => {
  const fleet = createFleet(2);
  for (let round = 0; round < 20; round++) {
    for (let index = 0; index < 50; index++) {
      const attemptId = `${round}-${index}`;
      await fleet.begin("d0", { attemptId, version: "v1" });
    }
    await fleet.timer.advance(5_000);
  }
  for (const { origins } of fleet.daemons.values()) {
    expect(origins.size <= 250).toEqual(true);
  }
});
