import type { EndpointEntry } from "../../endpoints/endpoint_entry.ts";
import { expect } from "earl";
import { test } from "node:test";
import { EndpointRegistry } from "../../endpoints/endpoint_registry.ts";
import {
  createWorld,
  request,
  serve,
  wholeAnswer,
} from "../support/request_world.ts";

const NO_ZONES: ReadonlySet<string> = new Set();

function entry(id: string, zone: string): EndpointEntry {
  return {
    id,
    bornAt: 1,
    service: "model",
    address: "10.0.0.1:80",
    zone,
    slots: 4,
    isDraining: false,
  };
}

function idsOf(registry: EndpointRegistry): readonly string[] {
  return registry.availableFor("model").map((state) => state.entry.id);
}

// Guards against work for an endpoint that starts in an evacuated zone.
test("endpoints of an evacuated zone get no work, even if they start later", () => {
  const registry = new EndpointRegistry();
  registry.upsert(entry("i1", "a"), 0);
  registry.upsert(entry("i2", "b"), 0);
  registry.setEvacuatedZones(new Set(["a"]), 0);
  registry.upsert(entry("i3", "a"), 0);
  expect(idsOf(registry)).toEqual(["i2"]);
  expect(registry.find("i1")?.isHealthy(0)).toEqual(false);
  registry.setEvacuatedZones(NO_ZONES, 0);
  expect(idsOf(registry)).toEqual(["i1", "i2", "i3"]);
});

// Guards against overload of endpoints that became cold without work.
test("endpoints are presumed cold for a while after an evacuation ends", () => {
  const registry = new EndpointRegistry();
  registry.upsert(entry("i1", "a"), 0);
  registry.upsert(entry("i2", "b"), 0);
  registry.setEvacuatedZones(new Set(["a"]), 0);
  registry.setEvacuatedZones(NO_ZONES, 1_000);
  // An entry written before the end of the evacuation reports no cold time.
  registry.upsert(entry("i1", "a"), 1_100);
  expect(registry.find("i1")?.isCold(2_000)).toEqual(true);
  expect(registry.find("i2")?.isCold(2_000)).toEqual(false);
  expect(registry.find("i1")?.isCold(60_000)).toEqual(false);
});

// Guards against an implausible cold time that blocks an endpoint for good.
test("an endpoint is cold for the time that it reports, within a bound", () => {
  const registry = new EndpointRegistry();
  registry.upsert({ ...entry("i1", "a"), coldMilliseconds: 500 }, 1_000);
  expect(registry.find("i1")?.isCold(1_499)).toEqual(true);
  expect(registry.find("i1")?.isCold(1_500)).toEqual(false);
  registry.upsert({ ...entry("i1", "a"), coldMilliseconds: 1e12 }, 2_000);
  expect(registry.find("i1")?.isCold(100_000)).toEqual(false);
  registry.upsert({ ...entry("i1", "a"), coldMilliseconds: -5 }, 200_000);
  expect(registry.find("i1")?.isCold(200_000)).toEqual(false);
});

// Guards against callers that wait for a service whose zones are all evacuated.
test("a request whose service is evacuated is refused at once", async () => {
  const world = createWorld([]);
  world.registry.setEvacuatedZones(new Set(["a"]), 0);
  await serve(world, request());
  expect(world.reply.status).toEqual(503);
  expect(world.chainRunCount()).toEqual(0);
});

// Guards against a placement chosen before the zone was evacuated.
test("a request isn't sent to its placement in a zone evacuated since", async () => {
  const chain = {
    type: "done",
    results: [],
    place: { endpointId: "i2", promptSourceId: "i3" },
  } as const;
  const world = createWorld([() => wholeAnswer(200, "done")], {
    chain,
    route: { kind: "idempotent" },
  });
  for (const id of ["i2", "i3"]) {
    const known = world.registry.find(id)?.entry;
    if (known !== undefined) world.registry.upsert({ ...known, zone: "b" }, 0);
  }
  world.registry.setEvacuatedZones(new Set(["b"]), 0);
  await serve(world);
  expect(world.endpointCalls.map((call) => call.endpoint.id)).toEqual(["i1"]);
  expect(world.endpointCalls[0]?.promptSource).toEqual(undefined);
});
