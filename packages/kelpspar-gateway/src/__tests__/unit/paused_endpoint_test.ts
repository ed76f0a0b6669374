import type { ChainOutcome } from "../../pieces/chain_outcome.ts";
import type { ScriptedAnswer, World } from "../support/request_world.ts";
import { expect } from "earl";
import { test } from "node:test";
import { PausingEndpoint } from "../support/pausing_endpoint.ts";
import { createWorld, request, stream } from "../support/request_world.ts";

const FIRST = "id: 1\ndata: a\n\n";
const SECOND = "id: 2\ndata: b\n\n";
const THIRD = "id: 3\ndata: c\n\n";
/** Longer than the silence after which another endpoint is looked for. */
const PAUSE_MILLISECONDS = 2_500;
/** Shorter than that silence. */
const GAP_MILLISECONDS = 500;
const DEADLINE_MILLISECONDS = 10_000;
const STAGES_REFUSED: ChainOutcome = {
  type: "refused",
  reason: "retry_budget",
  retryAfterMilliseconds: 2_000,
};

interface PauseOptions {
  readonly second?: ScriptedAnswer;
  readonly chains?: readonly ChainOutcome[];
  readonly slack?: number;
  readonly pieceCounts?: readonly number[];
}

/** Plays a stream whose endpoint pauses after its first event, to its end. */
async function playPause(options: PauseOptions): Promise<World> {
  const endpoint = new PausingEndpoint();
  const { second, pieceCounts = [0], ...rest } = options;
  const others = second === undefined ? [] : [second, second];
  const world = createWorld([endpoint.answer, ...others], rest);
  const served = world.service.serve(
    request({ pieceCounts }),
    world.reply,
  );
  await world.timer.settle();
  endpoint.write(FIRST);
  await world.timer.advance(PAUSE_MILLISECONDS);
  if (!endpoint.isClosed) {
    endpoint.write(SECOND);
    await world.timer.advance(GAP_MILLISECONDS);
    endpoint.write(THIRD);
    endpoint.end();
  }
  await world.timer.advance(DEADLINE_MILLISECONDS);
  await served;
  return world;
}

function expectWhole({ reply }: World): void {
  expect([reply.text, reply.endState]).toEqual([
    FIRST + SECOND + THIRD,
    "ended",
  ]);
}

// Guards against streams that are cut though no other endpoint may get them.
test("a stream whose endpoint pauses goes on if no retry is left", async () => {
  const world = await playPause({ slack: 0 });
  expectWhole(world);
  expect(world.endpointCalls.length).toEqual(1);
});

// Guards against streams that are cut though their stages can't be made again.
test("a stream whose endpoint pauses goes on if its stages can't be repeated", async () => {
  const done: ChainOutcome = {
    type: "done",
    results: [{
      handle: "h1",
      makerId: "m",
      makerAddress: "10.0.1.1:80",
      makerZone: "a",
    }],
  };
  const world = await playPause({
    chains: [done, STAGES_REFUSED, STAGES_REFUSED],
    pieceCounts: [1],
  });
  expectWhole(world);
  expect(world.endpointCalls.length).toEqual(1);
});

// Guards against streams that are cut for an endpoint that refuses them.
test("a stream whose endpoint pauses goes on if the next one is full", async () => {
  const world = await playPause({
    second: () => ({ type: "not_run", refusal: "full" }),
  });
  expectWhole(world);
});

// Guards against streams that are cut for an endpoint that doesn't answer.
test("a stream whose endpoint pauses goes on if the next one stays silent", async () => {
  const world = await playPause({
    second: ({ signal }) =>
      new Promise((resolve) => {
        signal.addEventListener(
          "abort",
          () => resolve({ type: "unknown", reason: "aborted" }),
        );
      }),
  });
  expectWhole(world);
});

// Guards against streams that wait for a silent endpoint until their deadline.
test("a stream whose endpoint stays silent goes on elsewhere", async () => {
  const world = await playPause({ second: () => stream(SECOND, THIRD) });
  expectWhole(world);
  expect(world.endpointCalls[1]?.lastEventId).toEqual("1");
});

// Guards against requests that fail though their endpoint would have answered.
test("an endpoint that pauses before its answer keeps the request", async () => {
  let answer = (): void => {};
  const world = createWorld([
    ({ signal }) =>
      new Promise((resolve) => {
        signal.addEventListener(
          "abort",
          () => resolve({ type: "unknown", reason: "aborted" }),
        );
        answer = () => resolve(stream(FIRST, SECOND, THIRD));
      }),
  ], { slack: 0 });
  const served = world.service.serve(
    request({ pieceCounts: [0] }),
    world.reply,
  );
  await world.timer.advance(2 * PAUSE_MILLISECONDS);
  answer();
  await world.timer.advance(DEADLINE_MILLISECONDS);
  await served;
  expectWhole(world);
});

/** Plays an endpoint that goes on while another one has been asked. */
async function playBoth(answerMilliseconds: number): Promise<World> {
  const endpoint = new PausingEndpoint();
  let answerSecond = (): void => {};
  const world = createWorld([
    endpoint.answer,
    () =>
      new Promise((resolve) => {
        answerSecond = () => resolve(stream(SECOND, "id: 3\ndata: d\n\n"));
      }),
  ]);
  const served = world.service.serve(
    request({ pieceCounts: [0] }),
    world.reply,
  );
  await world.timer.settle();
  endpoint.write(FIRST);
  await world.timer.advance(PAUSE_MILLISECONDS);
  expect([world.endpointCalls.length, endpoint.isClosed]).toEqual([2, false]);
  endpoint.write(SECOND);
  await world.timer.advance(answerMilliseconds);
  answerSecond();
  await world.timer.advance(GAP_MILLISECONDS);
  if (!endpoint.isClosed) {
    endpoint.write(THIRD);
    endpoint.end();
  }
  await world.timer.settle();
  await served;
  return world;
}

// Guards against events that come twice when both endpoints go on.
test("an endpoint that goes on while another one is asked is kept", async () => {
  expectWhole(await playBoth(350));
});

// Guards against two endpoints that both work on a stream.
test("an endpoint that goes on gives way to one that has just begun", async () => {
  const { reply } = await playBoth(100);
  expect([reply.text, reply.endState])
    .toEqual([`${FIRST}${SECOND}id: 3\ndata: d\n\n`, "ended"]);
});
