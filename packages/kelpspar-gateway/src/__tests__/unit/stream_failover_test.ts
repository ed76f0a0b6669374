import type { World } from "../support/request_world.ts";
import type { ManualTimer } from "kelpspar-shared";
import { expect } from "earl";
import { test } from "node:test";
import { RetryGate } from "../../retries/retry_gate.ts";
import {
  PausingEndpoint,
  silentEndpoint,
} from "../support/pausing_endpoint.ts";
import {
  createWorld,
  request,
  stream,
  wholeAnswer,
} from "../support/request_world.ts";

const FIRST = "id: 1\ndata: a\n\n";
const SECOND = "id: 2\ndata: b\n\n";
/** Silence after which another endpoint is looked for. */
const STALL_MILLISECONDS = 1_500;
const DEADLINE_MILLISECONDS = 10_000;

function serveStream(world: World, pieces = 0): Promise<void> {
  return world.service.serve(
    request({ pieceCounts: [pieces] }),
    world.reply,
  );
}

/** A gate whose fleet lends one retry at a time, after `milliseconds`. */
function createSlowGate(timer: ManualTimer, milliseconds: number): RetryGate {
  return new RetryGate({
    limits: { ratio: 0, slack: 10, windowMilliseconds: 10_000 },
    slack: {
      borrow: () =>
        new Promise((resolve) =>
          timer.registerTimeout(
            () => resolve({ granted: 1, retryAfterMilliseconds: 0 }),
            milliseconds,
          )
        ),
    },
    fleetSize: () => 1,
    timer,
  });
}

// Guards against a second endpoint whose silence hides a third one that serves.
test("a stream goes on at a third endpoint if two of them stay silent", async () => {
  const endpoint = new PausingEndpoint();
  const world = createWorld(
    [endpoint.answer, silentEndpoint, () => stream(SECOND)],
    { route: { attempts: 3 } },
  );
  const served = serveStream(world);
  await world.timer.settle();
  endpoint.write(FIRST);
  await world.timer.advance(DEADLINE_MILLISECONDS);
  await served;
  expect([world.reply.text, world.reply.endState])
    .toEqual([FIRST + SECOND, "ended"]);
});

// Guards against a second endpoint whose silence hides a third one that serves.
test("a late stream begins at a third endpoint if two of them stay silent", async () => {
  const world = createWorld(
    [silentEndpoint, silentEndpoint, () => stream(FIRST)],
    { route: { attempts: 3 } },
  );
  const served = serveStream(world);
  await world.timer.advance(DEADLINE_MILLISECONDS);
  await served;
  expect([world.reply.text, world.reply.endState]).toEqual([FIRST, "ended"]);
});

// Guards against final answers that are dropped for an endpoint that is silent.
test("an endpoint's error beside a late answer reaches the caller", async () => {
  for (const status of [404, 500]) {
    const world = createWorld([
      silentEndpoint,
      () => wholeAnswer(status, "error"),
    ]);
    const served = serveStream(world);
    await world.timer.advance(DEADLINE_MILLISECONDS);
    await served;
    expect([world.reply.status, world.reply.text]).toEqual([status, "error"]);
  }
});

// Guards against prompt parts that crash a second endpoint, which gets them
// before the silence of the first is known to be a crash.
test("a suspected part isn't sent on before its silent endpoint is checked", async () => {
  const endpoint = new PausingEndpoint();
  const world = createWorld(
    [endpoint.answer, () => stream(SECOND)],
    { check: () => "refused" },
  );
  world.quarantine.reportCrash({
    fingerprint: "other",
    crash: "c1",
    ranMilliseconds: 50,
    wroteMilliseconds: 50,
    parts: ["p"],
    software: "model ",
  });
  await world.timer.advance(500);
  const promptParts = ["p", "own"].map((id) => ({ id, tokens: 100 }));
  expect(world.quarantine.mayBecomeSuspect({ fingerprint: "", parts: ["p"] }))
    .toEqual(true);
  const served = world.service.serve(
    request({ pieceCounts: [0], promptParts }),
    world.reply,
  );
  await world.timer.settle();
  endpoint.write(FIRST);
  await world.timer.advance(DEADLINE_MILLISECONDS);
  await served;
  expect(world.endpointCalls.length).toEqual(1);
});

// Guards against parts that crash the next endpoint before the crash of the first
// is counted.
test("a stream with a shared part goes on once its endpoint is checked", async () => {
  const endpoint = new PausingEndpoint();
  let finishCheck = (): void => {};
  const world = createWorld([endpoint.answer, () => stream(SECOND)], {
    check: () =>
      new Promise((resolve) => {
        finishCheck = () => resolve("refused");
      }),
  });
  const promptParts = ["p", "own"].map((id) => ({ id, tokens: 100 }));
  const served = world.service.serve(
    request({ pieceCounts: [0], promptParts }),
    world.reply,
  );
  await world.timer.settle();
  endpoint.write(FIRST);
  await world.timer.settle();
  endpoint.breakOff();
  await world.timer.advance(100);
  expect(world.endpointCalls.length).toEqual(1);
  finishCheck();
  await world.timer.settle();
  await served;
  expect(world.reply.text).toEqual(FIRST + SECOND);
});

// Guards against stages that are made again for an endpoint that fails before
// its first event.
test("an endpoint that is late keeps its stages until its first event", async () => {
  const endpoint = new PausingEndpoint();
  let answer = (): void => {};
  const world = createWorld([
    (call) =>
      new Promise((resolve) => {
        answer = () => resolve(endpoint.answer(call));
      }),
  ], { slack: 0 });
  const served = serveStream(world, 1);
  await world.timer.advance(3_000);
  answer();
  await world.timer.settle();
  expect(world.releasedHandles).toEqual([]);
  endpoint.end();
  await world.timer.advance(DEADLINE_MILLISECONDS);
  await served;
});

// Guards against stages that are made again for an endpoint that fails inside
// its first event.
test("an endpoint that pauses keeps its stages until its first event", async () => {
  const endpoint = new PausingEndpoint();
  const world = createWorld([endpoint.answer], { slack: 0 });
  const served = serveStream(world, 1);
  await world.timer.advance(2 * STALL_MILLISECONDS);
  expect(endpoint.isClosed).toEqual(false);
  endpoint.write("id:");
  await world.timer.settle();
  expect(world.releasedHandles).toEqual([]);
  endpoint.breakOff();
  await world.timer.advance(DEADLINE_MILLISECONDS);
  await served;
});

// Guards against requests that reach an endpoint after their caller has left.
test("a stream that waits for a retry isn't sent after its caller has left", async () => {
  const endpoint = new PausingEndpoint();
  const world = createWorld([endpoint.answer, () => stream(SECOND)], {
    createGate: (timer) => createSlowGate(timer, 700),
  });
  const served = serveStream(world);
  await world.timer.settle();
  endpoint.write(FIRST);
  await world.timer.advance(STALL_MILLISECONDS + 100);
  endpoint.breakOff();
  await world.timer.settle();
  world.reply.disconnect();
  await world.timer.advance(DEADLINE_MILLISECONDS);
  await served;
  expect(world.endpointCalls.length).toEqual(1);
});

// Guards against silent endpoints that cost callers their deadline.
test("a silent stream goes on elsewhere if all others are set aside", async () => {
  const endpoint = new PausingEndpoint();
  const world = createWorld([endpoint.answer, () => stream(SECOND)]);
  const others = ["i2", "i3"].map((id) => world.registry.find(id));
  const isSetAside = (): boolean =>
    others.every((other) => other?.isSetAside(world.timer.now() + 4_900));
  while (!isSetAside()) {
    await world.timer.advance(50);
    for (const other of others) other?.failed(false, world.timer.now());
  }
  const served = serveStream(world);
  await world.timer.settle();
  endpoint.write(FIRST);
  // Callers leave after a gap of four objectives.
  await world.timer.advance(4_000);
  expect([world.reply.text, world.reply.endState])
    .toEqual([FIRST + SECOND, "ended"]);
  await served;
});

// Guards against crashes that count as later than they were, which joins them
// to other crashes.
test("a crash is known while another endpoint is asked for the stream", async () => {
  let crash = (): void => {};
  const world = createWorld([
    () =>
      new Promise((resolve) => {
        crash = () => resolve({ type: "unknown", reason: "reset" });
      }),
    silentEndpoint,
  ], { check: () => "refused" });
  const promptParts = ["p", "own"].map((id) => ({ id, tokens: 100 }));
  const served = world.service.serve(
    request({ pieceCounts: [0], promptParts }),
    world.reply,
  );
  await world.timer.advance(3_000);
  expect(world.endpointCalls.length).toEqual(2);
  crash();
  await world.timer.advance(100);
  expect(world.quarantine.page().reports.length).toEqual(1);
  await world.timer.advance(DEADLINE_MILLISECONDS);
  await served;
});

// Guards against streams that count as resumed though they ended silent.
test("a stream that stays silent until its deadline doesn't count as resumed", async () => {
  const endpoint = new PausingEndpoint();
  const world = createWorld([endpoint.answer], { slack: 0 });
  const served = serveStream(world);
  await world.timer.settle();
  endpoint.write(FIRST);
  await world.timer.advance(DEADLINE_MILLISECONDS);
  await served;
  const outcomes = world.logLines
    .filter(({ message }) => message === "stream no longer stalled")
    .map(({ fields }) => fields["outcome"]);
  expect(outcomes).toEqual(["ended"]);
});

// Guards against searches that go on though nothing can come of them.
test("a stream without an attempt left isn't searched for again and again", async () => {
  const endpoint = new PausingEndpoint();
  const world = createWorld([
    endpoint.answer,
    () => ({ type: "unknown", reason: "reset" }),
  ]);
  const served = serveStream(world);
  await world.timer.settle();
  endpoint.write(FIRST);
  await world.timer.advance(DEADLINE_MILLISECONDS);
  await served;
  const refusals = world.logLines.filter(({ message, fields }) =>
    message === "no other endpoint for stalled stream" &&
    fields["reason"] === "no attempt left"
  );
  expect(refusals.length <= 1).toEqual(true);
});

// Guards against a forecast of a stop that lacks the answers of second
// endpoints.
test("an answer that a failover found counts from its first send", async () => {
  let fail = (): void => {};
  let answer = (): void => {};
  const world = createWorld([
    () =>
      new Promise((resolve) => {
        fail = () => resolve({ type: "unknown", reason: "reset" });
      }),
    () =>
      new Promise((resolve) => {
        answer = () => resolve(stream(FIRST));
      }),
  ]);
  const served = serveStream(world);
  await world.timer.advance(2_500);
  fail();
  await world.timer.advance(500);
  answer();
  await world.timer.settle();
  await served;
  expect([world.reply.text, world.reply.endState]).toEqual([FIRST, "ended"]);
  expect(world.sendTimes.estimate("r") === undefined).toEqual(false);
});
