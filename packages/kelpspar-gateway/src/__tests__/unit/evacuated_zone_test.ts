import type { EndpointEntry } from "../../endpoints/endpoint_entry.ts";
import { expect } from "earl";
import { test } from "node:test";
import { EndpointBook } from "../../endpoints/endpoint_registry.ts";
import {
  createWorld,
  request,
  serve,
  wholeAnswer,
} from "../support/request_world.ts";

const NOBODY: ReadonlySet<string> = new Set();

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

function idsOf(book: EndpointBook): readonly string[] {
  return book.ofService("model").map((state) => state.entry.id);
}

// Guards against an endpoint of an evacuated zone that starts meanwhile.
test("endpoints of an evacuated zone get no work, later ones neither", () => {
  const book = new EndpointBook();
  book.put(entry("i1", "a"), 0);
  book.put(entry("i2", "b"), 0);
  book.setEvacuated(new Set(["a"]), 0);
  book.put(entry("i3", "a"), 0);
  expect(idsOf(book)).toEqual(["i2"]);
  expect(book.find("i1")?.isSound(0)).toEqual(false);
  book.setEvacuated(NOBODY, 0);
  expect(idsOf(book)).toEqual(["i1", "i2", "i3"]);
});

// Guards against a flood of endpoints that became cold while they got nothing.
test("endpoints of a zone that is taken back count as cold for a while", () => {
  const book = new EndpointBook();
  book.put(entry("i1", "a"), 0);
  book.put(entry("i2", "b"), 0);
  book.setEvacuated(new Set(["a"]), 0);
  book.setEvacuated(NOBODY, 1_000);
  // An entry from before its return says that it isn't cold.
  book.put(entry("i1", "a"), 1_100);
  expect(book.find("i1")?.isCold(2_000)).toEqual(true);
  expect(book.find("i2")?.isCold(2_000)).toEqual(false);
  expect(book.find("i1")?.isCold(60_000)).toEqual(false);
});

// Guards against an endpoint that is never used again for an absurd word.
test("an endpoint is cold for as long as it says, within a limit", () => {
  const book = new EndpointBook();
  book.put({ ...entry("i1", "a"), coldMilliseconds: 500 }, 1_000);
  expect(book.find("i1")?.isCold(1_499)).toEqual(true);
  expect(book.find("i1")?.isCold(1_500)).toEqual(false);
  book.put({ ...entry("i1", "a"), coldMilliseconds: 1e12 }, 2_000);
  expect(book.find("i1")?.isCold(100_000)).toEqual(false);
  book.put({ ...entry("i1", "a"), coldMilliseconds: -5 }, 200_000);
  expect(book.find("i1")?.isCold(200_000)).toEqual(false);
});

// Guards against callers that wait for a service whose zones are all evacuated.
test("a request whose service is evacuated is refused at once", async () => {
  const world = createWorld([]);
  world.registry.setEvacuated(new Set(["a"]), 0);
  await serve(world, request());
  expect(world.reply.status).toEqual(503);
  expect(world.chainRunCount()).toEqual(0);
});

// Guards against a place that was chosen before the zone was evacuated.
test("a request isn't sent to its place in a zone evacuated since", async () => {
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
    if (known !== undefined) world.registry.put({ ...known, zone: "b" }, 0);
  }
  world.registry.setEvacuated(new Set(["b"]), 0);
  await serve(world);
  expect(world.endpointCalls.map((call) => call.endpoint.id)).toEqual(["i1"]);
  expect(world.endpointCalls[0]?.promptSource).toEqual(undefined);
});
