import type { ServiceRoute } from "../../configuration/service_route.ts";
import type { World } from "../support/request_world.ts";
import { expect } from "earl";
import { test } from "node:test";
import {
  createWorld,
  RecordedReply,
  request,
  serve,
  stream,
  wholeAnswer,
} from "../support/request_world.ts";

const ROUTE = { name: "r", stages: [] } as const;
const GRACE_MILLISECONDS = 8_000;
const BUSY = { isBusy: () => true, isReplaced: () => true };
const IDLE = { isBusy: () => false, isReplaced: () => true };

/** A daemon that was told to stop, and knows how long its answers take. */
async function stoppingWorld(options: {
  readonly route?: Partial<ServiceRoute>;
  readonly answerMilliseconds?: number;
  readonly sinceStopMilliseconds: number;
}): Promise<World> {
  const world = createWorld([
    () => stream("id: 1\ndata: a\n\n"),
    () => wholeAnswer(200, "done"),
  ], { route: { ...ROUTE, ...options.route } });
  const { answerMilliseconds } = options;
  for (let count = 0; count < 20; count++) {
    if (answerMilliseconds === undefined) break;
    world.answerTimes.record(ROUTE.name, answerMilliseconds);
  }
  void world.lifecycle.stop(BUSY);
  await world.timer.advance(options.sinceStopMilliseconds);
  return world;
}

// Guards against streams that are begun and cut when the daemon ends.
test("a stopping daemon refuses a stream that can't end before it", async () => {
  for (const sinceStopMilliseconds of [1_700, 3_100, 5_000, 7_640, 7_700]) {
    const world = await stoppingWorld({
      answerMilliseconds: 6_000,
      sinceStopMilliseconds,
    });
    await serve(world);
    expect(world.reply.status).toEqual(503);
    expect(world.endpointCalls.length).toEqual(0);
    expect((world.reply.refusal?.retryAfterMilliseconds ?? 0) > 0).toEqual(
      true,
    );
  }
});

// Guards against refusing what a stopping daemon could still serve.
test("a stopping daemon serves what ends before it", async () => {
  for (
    const [answerMilliseconds, sinceStopMilliseconds] of [
      [6_000, 1_500],
      [300, 3_700],
      [300, 7_200],
    ] as const
  ) {
    const world = await stoppingWorld({
      answerMilliseconds,
      sinceStopMilliseconds,
    });
    await serve(world);
    expect(world.reply.endState).toEqual("ended");
    expect(world.reply.status).toEqual(200);
  }
});

// Guards against a daemon that has just started and accepts streams of unknown
// length when it stops.
test("the deadline counts while a route's answer times are unknown", async () => {
  const statusAfter = async (deadline: number): Promise<number | undefined> => {
    const world = await stoppingWorld({ sinceStopMilliseconds: 2_000 });
    await serve(world, request({ deadlineMilliseconds: deadline }));
    return world.reply.status;
  };
  expect(await statusAfter(10_000)).toEqual(503);
  expect(await statusAfter(5_000)).toEqual(200);
});

// Guards against accepting answers by times from before the route became slow.
test("an answer in progress shows that a route has become slower", async () => {
  const world = createWorld([
    () => new Promise(() => {}),
    () => wholeAnswer(200, "done"),
  ], { route: { ...ROUTE, kind: "non_idempotent" } });
  for (let count = 0; count < 20; count++) {
    world.answerTimes.record(ROUTE.name, 1_000);
  }
  void world.service.serve(request(), new RecordedReply());
  await world.timer.advance(5_000);
  void world.lifecycle.stop(BUSY);
  await world.timer.advance(3_000);
  await serve(world);
  expect(world.reply.status).toEqual(503);
  expect(world.endpointCalls.length).toEqual(1);
});

// Guards against a relayed stream that is cut where the relay ends.
test("a stopping daemon refuses relayed streams that can't end", async () => {
  const world = await stoppingWorld({
    answerMilliseconds: 6_000,
    sinceStopMilliseconds: 3_000,
  });
  await world.service.serveRelayed({
    configurationVersion: 1,
    attemptsLeft: 1,
    request: request(),
  }, world.reply);
  expect(world.reply.status).toEqual(503);
  expect(world.endpointCalls.length).toEqual(0);
});

// Guards against a request that is dropped without an answer at the very end.
test("a daemon that ends refuses all requests", async () => {
  const world = createWorld([() => wholeAnswer(200, "done")], {
    route: { ...ROUTE, kind: "idempotent" },
  });
  for (let count = 0; count < 20; count++) {
    world.answerTimes.record(ROUTE.name, 1);
  }
  void world.lifecycle.stop(IDLE);
  await world.timer.advance(GRACE_MILLISECONDS / 2);
  expect(world.lifecycle.phase).toEqual("ending");
  await serve(world);
  expect(world.reply.status).toEqual(503);
});

// Guards against callers that are sent from one ending daemon to the next.
test("a refusal says when a daemon will serve again", async () => {
  const world = createWorld([], {
    route: ROUTE,
    others: { isOtherServing: false, othersEndIn: [5_000] },
  });
  for (let count = 0; count < 20; count++) {
    world.answerTimes.record(ROUTE.name, 6_000);
  }
  void world.lifecycle.stop(BUSY);
  await world.timer.advance(2_000);
  await serve(world);
  const { retryAfterMilliseconds = 0 } = world.reply.refusal ?? {};
  expect(retryAfterMilliseconds > 1_600).toEqual(true);
});
