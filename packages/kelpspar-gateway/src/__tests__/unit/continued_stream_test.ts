import type { RelayMessage } from "../../relay/relay_message.ts";
import { expect } from "earl";
import { test } from "node:test";
import {
  decodeRelayMessage,
  encodeRelayMessage,
} from "../../relay/relay_message.ts";
import {
  createWorld,
  request,
  serve,
  stream,
} from "../support/request_world.ts";

const FIRST = "id: 1\ndata: a\n\n";
const SECOND = "id: 2\ndata: b\n\n";
const CUT = new Error("connection reset");
const KNOWN = {
  type: "known",
  origin: { service: "model", version: "v2" },
} as const;
const RESUMED = { lastEventId: "1", resumedAttemptId: "a0" };

// Guards against a stream that goes on at another version, placed there or not.
test("a cut stream goes on only at endpoints of its software version", async () => {
  for (let run = 0; run < 10; run++) {
    const world = createWorld([
      () => stream(FIRST, CUT),
      () => stream(SECOND),
    ], { route: { stages: [], attempts: 3 }, versions: ["v1", "v1", "v2"] });
    await serve(world);
    const ids = world.endpointCalls.map(({ endpoint }) => endpoint.id);
    if (ids[0] === "i3") {
      expect(ids).toEqual(["i3"]);
      expect(world.reply.endState).toEqual("broken");
    } else {
      expect(new Set(ids)).toEqual(new Set(["i1", "i2"]));
      expect(world.reply.text).toEqual(FIRST + SECOND);
    }
  }
});

// Guards against streams that begin where no other endpoint could go on.
test("a stream begins at a version with two endpoints while they have free slots", async () => {
  for (const busyCalls of [0, 4]) {
    for (let run = 0; run < 10; run++) {
      const world = createWorld([() => stream(FIRST)], {
        route: { stages: [] },
        versions: ["v1", "v1", "v2"],
      });
      for (const id of ["i1", "i2"]) {
        const endpoint = world.registry.find(id);
        if (endpoint !== undefined) endpoint.inFlight = busyCalls;
      }
      await serve(world);
      const [id] = world.endpointCalls.map(({ endpoint }) => endpoint.id);
      expect(id === "i3").toEqual(busyCalls > 0);
    }
  }
});

// Guards against a refusal while an endpoint of another version is left.
test("a stream begins at the last endpoint of a version if the others refuse", async () => {
  const full = () => ({ type: "not_run", refusal: "full" }) as const;
  const world = createWorld([full, full, () => stream(FIRST)], {
    route: { stages: [] },
    versions: ["v1", "v1", "v2"],
  });
  await serve(world);
  expect(world.reply.text).toEqual(FIRST);
});

// Guards against a place from a coordinator that chose another version.
test("a resumed stream isn't sent to a place of another software version", async () => {
  const world = createWorld([() => stream(SECOND)], {
    versions: ["v1", "v1", "v2"],
    origin: KNOWN,
    chain: { type: "done", results: [], place: { endpointId: "i1" } },
  });
  await serve(world, request(RESUMED));
  expect(world.endpointCalls.map(({ endpoint }) => endpoint.id)).toEqual([
    "i3",
  ]);
  expect(world.reply.text).toEqual(SECOND);
});

// Guards against stages that run for a stream that can't go on.
test("a stream that can't go on is refused before its stages run", async () => {
  const options = { versions: ["v1", "v1", "v1"] };
  for (const origin of [KNOWN, { type: "unknown" }] as const) {
    const world = createWorld([], { ...options, origin });
    await serve(world, request(RESUMED));
    expect([world.reply.status, world.chainRunCount()]).toEqual([503, 0]);
    expect(world.endpointCalls.length).toEqual(0);
  }
});

// Guards against a stream that goes on at another service of a split route.
test("a resumed stream stays at its service", async () => {
  const targets = [
    { service: "other", weight: 1_000 },
    { service: "model", weight: 1 },
  ];
  const world = createWorld([() => stream(SECOND)], {
    route: { targets, stages: [] },
    versions: ["v1", "v1", "v2"],
    origin: KNOWN,
  });
  for (const id of ["o1", "o2"]) {
    world.registry.upsert({
      id,
      bornAt: 0,
      service: "other",
      address: "10.0.0.9:80",
      zone: "a",
      version: "v2",
      slots: 4,
      isDraining: false,
    }, 0);
  }
  await serve(world, request(RESUMED));
  expect(world.endpointCalls.map(({ endpoint }) => endpoint.id)).toEqual([
    "i3",
  ]);
});

// Guards against an event whose version only the daemon that began it knows.
test("the first event waits until other daemons know the stream", async () => {
  let release = (): void => {};
  const told = new Promise<void>((resolve) => release = resolve);
  const world = createWorld([() => stream(FIRST, SECOND)], {
    route: { stages: [] },
    versions: ["v1", "v1", "v1"],
    told,
  });
  const served = world.service.serve(request(), world.reply);
  await world.timer.settle();
  expect(world.reply.text).toEqual("");
  release();
  await served;
  expect(world.reply.text).toEqual(FIRST + SECOND);
  expect(world.begunStreams.map(({ attemptId, version }) => [
    attemptId,
    version,
  ])).toEqual([["acme/a1", "v1"]]);
});

// Guards against others that know the version of a send that brought no event.
test("a stream is told once, with the version that brings its first event", async () => {
  for (let run = 0; run < 10; run++) {
    const world = createWorld([() => stream(CUT), () => stream(FIRST)], {
      route: { stages: [], attempts: 3 },
      versions: ["v1", "v2", "v3"],
    });
    await serve(world);
    const [, second] = world.endpointCalls;
    expect(world.begunStreams.map(({ version }) => version)).toEqual(
      [second?.endpoint.version ?? ""],
    );
  }
});

// Guards against a stream that begins where others continue it at another version.
test("a stream doesn't begin at a version that others may not know of", async () => {
  for (const unhealthy of [[], ["i1", "i2"]]) {
    const world = createWorld([() => stream(FIRST)], {
      route: { stages: [] },
      versions: ["v1", "v1", "v2"],
      isSettled: ({ version }) => version === "v1",
    });
    for (const id of unhealthy) world.registry.retire({ id, bornAt: 0 });
    await serve(world);
    const [call] = world.endpointCalls;
    const expected = unhealthy.length > 0 ? "v2" : "v1";
    expect(call?.endpoint.version).toEqual(expected);
  }
});

// Guards against a second try that becomes the name of a stream.
test("a resumed stream is told under the attempt that began it", async () => {
  const world = createWorld([() => stream(SECOND)], {
    route: { stages: [] },
    versions: ["v1", "v1", "v2"],
    origin: KNOWN,
  });
  await serve(world, request(RESUMED));
  expect(world.begunStreams.map(({ attemptId, version }) => [
    attemptId,
    version,
  ])).toEqual([["acme/a0", "v2"]]);
});

// Guards against messages for streams that nobody may take up.
test("a stream that isn't resumable is told to nobody", async () => {
  const world = createWorld([() => stream(FIRST)], {
    route: { stages: [], isResumable: false },
    versions: ["v1", "v1", "v2"],
  });
  await serve(world);
  expect(world.begunStreams).toEqual([]);
  expect(world.reply.text).toEqual(FIRST);
});

// Guards against a relayed stream that the other daemon continues at any version.
test("a relayed stream keeps its software version", async () => {
  const message: RelayMessage = {
    configurationVersion: 1,
    attemptsLeft: 2,
    streamOrigin: KNOWN.origin,
    request: request(RESUMED),
  };
  const relayed = decodeRelayMessage(encodeRelayMessage(message));
  expect(relayed.streamOrigin).toEqual(KNOWN.origin);
  expect(relayed.request.resumedAttemptId).toEqual("a0");
  const world = createWorld([() => stream(SECOND)], {
    route: { stages: [] },
    versions: ["v1", "v1", "v2"],
    origin: { type: "unknown" },
  });
  await world.service.serveRelayed(relayed, world.reply);
  expect(world.endpointCalls.map(({ endpoint }) => endpoint.id)).toEqual([
    "i3",
  ]);
});
