import type { EndpointEntry } from "../../endpoints/endpoint_entry.ts";
import { expect } from "earl";
import { test } from "node:test";
import { OriginFleet, SERVICE } from "../support/origin_fleet.ts";
import {
  createWorld,
  request,
  serve,
  stream,
} from "../support/request_world.ts";

const SECOND = "id: 2\ndata: b\n\n";
const RESUMED = { lastEventId: "1", resumedAttemptId: "a0" };
const OTHER_SERVICE = "other";
/** Longer than a stream lives, so that daemons know all of its versions. */
const LONG_AGO_MILLISECONDS = 61_000;

function endpoint(id: string, service: string, version: string): EndpointEntry {
  return {
    id,
    bornAt: 0,
    service,
    address: "10.0.0.9:80",
    zone: "a",
    version,
    slots: 4,
    isDraining: false,
  };
}

// Guards against a stream that goes on at a version that came after it began.
test("a resumed stream isn't sent to a version listed while its stages run", async () => {
  let endStages = (): void => {};
  const world = createWorld([() => stream(SECOND)], {
    versions: ["v1", "v1", "v1"],
    origin: { type: "known", origin: { service: SERVICE, version: "v1" } },
    chain: new Promise((resolve) => {
      endStages = () => resolve({ type: "done", results: [] });
    }),
  });
  const served = serve(world, request(RESUMED));
  await world.timer.settle();
  expect(world.chainRunCount()).toEqual(1);
  for (const id of ["i1", "i2", "i3"]) world.registry.retire({ id, bornAt: 0 });
  world.registry.upsert(endpoint("i4", SERVICE, "v2"), 0);
  endStages();
  await served;
  expect(world.endpointCalls.map((call) => call.endpoint.version)).toEqual([]);
});

// Guards against a conclusion from a list that hasn't been read yet.
test("daemons that all start without a list don't know a stream's version", async () => {
  const fleet = new OriginFleet();
  for (const daemonId of ["d0", "d1", "d2"]) fleet.add(daemonId, "a", []);
  expect((await fleet.find("d1", "s")).type).toEqual("unknown");
});

// Guards against a stream that goes on elsewhere once its route has moved.
for (const areLost of [false, true]) {
  const loss = areLost ? " after a loss of all daemons" : "";
  test(`a stream of a route that has moved isn't of the new service${loss}`, async () => {
    const fleet = new OriginFleet();
    const addOther = (): void => {
      for (const { registry } of fleet.daemons.values()) {
        registry.upsert(endpoint("o1", OTHER_SERVICE, "v2"), 0);
      }
    };
    for (const daemonId of ["d0", "d1", "d2"]) {
      fleet.add(daemonId, "a", ["v1"]);
    }
    addOther();
    await fleet.timer.advance(LONG_AGO_MILLISECONDS);
    await fleet.begin("d0", { attemptId: "s", version: "v1" });
    fleet.moveRoute(OTHER_SERVICE);
    await fleet.timer.advance(500);
    if (areLost) {
      fleet.restartAll(["v1"]);
      addOther();
      await fleet.timer.advance(1_000);
    }
    const { type, ...lookup } = await fleet.find("d1", "s");
    const origin = "origin" in lookup ? lookup.origin : undefined;
    expect([type, origin?.service, origin?.version]).toEqual(
      ["known", SERVICE, "v1"],
    );
    expect((await fleet.find("d1", "unknown")).type).toEqual("unknown");
  });
}
