import { expect } from "earl";
import { test } from "node:test";
import { OriginFleet, SERVICE } from "../support/origin_fleet.ts";

const DAEMONS = 12;
/** Longer than a stream lives, so that daemons know all of its versions. */
const LONG_AGO_MILLISECONDS = 61_000;
/** Less than the time by which lists differ while the store answers. */
const LIST_LAG_MILLISECONDS = 1_900;
/** Until a new version is on record and listed by all. */
const SETTLING_MILLISECONDS = 10_000;

function createFleet(versions: readonly string[]): OriginFleet {
  const fleet = new OriginFleet();
  for (let index = 0; index < DAEMONS; index++) {
    fleet.add(`d${index}`, index % 2 === 0 ? "a" : "b", versions);
  }
  return fleet;
}

/** Software that a daemon concludes for the stream "s", or "unknown". */
async function conclude(fleet: OriginFleet, daemonId: string): Promise<string> {
  const lookup = await fleet.find(daemonId, "s");
  return lookup.type === "known"
    ? `${lookup.origin.service} ${lookup.origin.version}`
    : lookup.type;
}

// Guards against a daemon that starts during a release and begins streams at a version that others haven't listed yet.
test("a daemon that starts doesn't begin streams at a version that has just come", async () => {
  const fleet = createFleet(["v1"]);
  await fleet.timer.advance(LONG_AGO_MILLISECONDS);
  for (let index = 6; index < DAEMONS; index++) {
    fleet.makeListStale(`d${index}`);
  }
  for (let index = 0; index < 6; index++) fleet.list(`d${index}`, "v2");
  await fleet.timer.advance(1_500);
  fleet.kill("d0");
  fleet.add("d0", "a", ["v1", "v2"]);
  await fleet.timer.advance(LIST_LAG_MILLISECONDS - 1_500);
  if (!fleet.isSettled("d0", "v2")) return;
  await fleet.begin("d0", { attemptId: "s", version: "v2" });
  const concluded: string[] = [];
  for (const id of fleet.daemons.keys()) {
    concluded.push(await conclude(fleet, id));
  }
  expect(concluded.includes(`${SERVICE} v1`)).toEqual(false);
});

// Guards against a daemon without the store and other daemons that concludes a version from a list of seconds ago, since it read the rows when it started.
test("a daemon that is cut off doesn't conclude a version from its old list", async () => {
  const fleet = createFleet(["v1"]);
  await fleet.timer.advance(LONG_AGO_MILLISECONDS);
  const cutOff = ["d0", "d2", "d4"];
  for (const id of cutOff) {
    fleet.makeListStale(id);
    fleet.setReachable(id, cutOff);
  }
  const others = [...fleet.daemons.keys()].filter((id) => !cutOff.includes(id));
  for (const id of others) {
    fleet.list(id, "v2");
    fleet.setReachable(id, others);
  }
  await fleet.timer.advance(SETTLING_MILLISECONDS);
  expect(fleet.isSettled("d1", "v2")).toEqual(true);
  await fleet.begin("d1", { attemptId: "s", version: "v2" });
  await fleet.timer.advance(400);
  // The store that this fleet shares stands for the one that they don't reach.
  fleet.store.isAway = true;
  expect(await conclude(fleet, "d0")).toEqual("unknown");
});

// Guards against a daemon that concludes the old service since it has an older configuration.
test("a stream of a route that has moved isn't of the old service at a daemon that learns of it later", async () => {
  const fleet = createFleet(["v1"]);
  await fleet.timer.advance(LONG_AGO_MILLISECONDS);
  const late = fleet.daemons.get("d11");
  if (late === undefined) throw new Error("No daemon");
  const { applyIfNewer } = late.configuration;
  late.configuration.applyIfNewer = () => false;
  fleet.moveRoute("other");
  late.configuration.applyIfNewer = applyIfNewer;
  await fleet.timer.advance(300);
  await fleet.begin("d0", { attemptId: "s", version: "w1" });
  const lookup = await late.origins.find({
    attemptId: "s",
    route: "route",
    services: [SERVICE],
  });
  expect(lookup.type === "known" && lookup.origin.service === SERVICE)
    .toEqual(false);
});

// Guards against a service that is known from another route and counts as known to serve this one.
test("streams of a route that has moved to a known service aren't of the old one at a daemon that learns of it later", async () => {
  const fleet = new OriginFleet({ otherRoutes: { "other-route": "other" } });
  for (let index = 0; index < DAEMONS; index++) {
    fleet.add(`d${index}`, index % 2 === 0 ? "a" : "b", ["v1"]);
    fleet.list(`d${index}`, "w1", { service: "other" });
  }
  await fleet.timer.advance(LONG_AGO_MILLISECONDS);
  fleet.moveRoute("other", { exceptAt: ["d11"] });
  expect(fleet.isSettled("d0", "w1")).toEqual(true);
  await fleet.timer.advance(300);
  for (let index = 0; index < 10; index++) {
    const attemptId = `s${index}`;
    await fleet.begin("d0", { attemptId, version: "w1" });
    const lookup = await fleet.find("d11", attemptId);
    expect(lookup.type === "known" && lookup.origin.service === SERVICE)
      .toEqual(false);
  }
});
