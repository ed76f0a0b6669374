import type { ServiceRoute } from "../../configuration/service_route.ts";
import type { ChainOutcome } from "../../pieces/chain_outcome.ts";
import type { RequestRun } from "../../requests/request_run.ts";
import type { ScriptedAnswer, World } from "../support/request_world.ts";
import { ManualTimer } from "kelpspar-shared";
import { expect } from "earl";
import { test } from "node:test";
import { z } from "zod";
import { AnswerTimes } from "../../lifecycle/answer_times.ts";
import { KnownAnswerTimes } from "../../lifecycle/known_answer_times.ts";
import { routeTimesSchema } from "../../lifecycle/route_times.ts";
import { admitChain } from "../../pieces/admit_chain.ts";
import { ShutdownAdmission } from "../../requests/shutdown_admission.ts";
import {
  createWorld,
  RecordedReply,
  request,
  stream,
  wholeAnswer,
} from "../support/request_world.ts";

const ROUTE = "r";
const BUSY = { isBusy: () => true, isReplaced: () => true };
const STAGES: ChainOutcome = {
  type: "done",
  results: [{
    handle: "h1",
    makerId: "m",
    makerAddress: "10.0.1.1:80",
    makerZone: "a",
  }],
};

interface Deferred {
  readonly chain: Promise<ChainOutcome>;
  readonly end: () => void;
}

function deferChain(): Deferred {
  let end = (): void => {};
  const chain = new Promise<ChainOutcome>((resolve) => {
    end = () => resolve(STAGES);
  });
  return { chain, end: () => end() };
}

/** A daemon whose successive chains have the given outcomes. */
function createChainWorld(
  script: readonly ScriptedAnswer[],
  chains: readonly (ChainOutcome | Promise<ChainOutcome>)[],
  route: Partial<ServiceRoute> = {},
): World {
  const left = [...chains];
  return createWorld(script, {
    route,
    get chain() {
      return left.shift() ?? STAGES;
    },
  });
}

function recordEven(times: AnswerTimes, milliseconds: number): void {
  for (let count = 0; count < 100; count++) times.record(ROUTE, milliseconds);
}

// Guards against refusals because another request waits for its stages after an
// endpoint that it was sent to didn't run it.
test("a request that isn't in progress doesn't count as a slow answer", async () => {
  const again = deferChain();
  const late = deferChain();
  const world = createChainWorld([
    () => ({ type: "not_run", refusal: "input_gone" }),
    () => stream("id: 1\ndata: a\n\n"),
  ], [STAGES, again.chain, late.chain]);
  recordEven(world.answerTimes, 1_000);
  recordEven(world.sendTimes, 200);
  await world.timer.advance(60_000);
  void world.lifecycle.stop(BUSY);
  const other = world.service.serve(
    request({ attemptId: "a0" }),
    new RecordedReply(),
  );
  await world.timer.advance(2_000);
  const served = world.service.serve(request(), world.reply);
  await world.timer.advance(3_500);
  late.end();
  await world.timer.settle();
  expect(world.reply.status).toEqual(200);
  again.end();
  await world.timer.settle();
  await Promise.all([served, other]);
});

// Guards against streams that are begun and cut because a slower answer has made
// the bound unknown that the daemon went by before.
test("a stream isn't begun late after a slower answer of its route", async () => {
  const late = deferChain();
  const world = createChainWorld([() => stream("id: 1\ndata: a\n\n")], [
    late.chain,
  ]);
  recordEven(world.answerTimes, 1_000);
  recordEven(world.sendTimes, 900);
  await world.timer.advance(5_000);
  void world.lifecycle.stop(BUSY);
  await world.timer.advance(3_100);
  const served = world.service.serve(request(), world.reply);
  await world.timer.advance(3_000);
  expect(world.reply.status).toEqual(undefined);
  world.answerTimes.record(ROUTE, 5_000);
  world.sendTimes.record(ROUTE, 4_000);
  await world.timer.advance(1_000);
  late.end();
  await world.timer.settle();
  await served;
  expect([world.endpointCalls.length, world.reply.status]).toEqual([0, 503]);
});

// Guards against requests that are accepted and refused at once, since a daemon
// knows fewer times from the send than from the arrival.
test("an answer isn't expected to take longer from its send than from its arrival", async () => {
  const world = createChainWorld([() => stream("id: 1\ndata: a\n\n")], [
    STAGES,
  ]);
  recordEven(world.answerTimes, 1_000);
  for (const time of [100, 200, 100, 800]) {
    world.sendTimes.record(ROUTE, time);
  }
  await world.timer.advance(60_000);
  recordEven(world.answerTimes, 1_000);
  void world.lifecycle.stop(BUSY);
  await world.timer.advance(5_000);
  const served = world.service.serve(request(), world.reply);
  await world.timer.settle();
  await served;
  expect([world.endpointCalls.length, world.reply.status]).toEqual([1, 200]);
});

// Guards against stages that get less time than the request has, although its
// deadline is before the daemon's end.
test("stages have the request's time if that ends before the daemon", async () => {
  const timer = new ManualTimer();
  const answerTimes = new AnswerTimes(timer);
  recordEven(answerTimes, 2_900);
  await timer.advance(60_000);
  const run = {
    options: {
      route: { name: ROUTE, kind: "stream" },
      dependencies: { answerTimes, sendTimes: answerTimes },
    },
    remaining: () => 4_000,
    remainingLifetime: () => 4_200,
    now: () => 0,
  } as unknown as RequestRun;
  const admission = new ShutdownAdmission(new Set());
  expect(admission.findSendRefusal(run)).toEqual(undefined);
  expect(admission.remainingForStages(run)).toEqual(4_000);
});

// Guards against stages that are run although they can't end before their
// chain's deadline, which may be a daemon's end.
test("a chain that can't end before its deadline isn't admitted", () => {
  const admission = admitChain({
    stages: [{ backlog: 0, work: 600, after: [], turn: 0 }],
    tail: 0,
    objective: 1_900,
    remaining: 300,
    priority: 0,
    loopDelay: 0,
    isUnderserved: false,
  });
  expect(admission.type).toEqual("refused");
});

// Guards against callers that are sent away for seconds by a daemon that would
// serve them at once.
test("a relayed request that its sender can't pass on may come back at once", async () => {
  const world = createWorld([], {
    others: { isOtherServing: false, othersEndIn: [1_000] },
  });
  recordEven(world.answerTimes, 2_000);
  await world.timer.advance(60_000);
  await world.service.serveRelayed({
    configurationVersion: 1,
    attemptsLeft: 1,
    senderEndsInMilliseconds: 1_000,
    request: request(),
  }, world.reply);
  expect(world.reply.status).toEqual(503);
  expect(world.reply.refusal?.retryAfterMilliseconds).toEqual(100);
});

// Guards against daemons of the previous build, which don't know `from`, that
// take times from the send for times from the arrival.
test("a daemon of the previous build learns times from the arrival only", async () => {
  const timer = new ManualTimer();
  const known = new KnownAnswerTimes(timer);
  recordEven(known.fromArrival, 3_000);
  await timer.advance(130_000);
  recordEven(known.fromSend, 200);
  const previous = new AnswerTimes(timer);
  previous.merge(
    z.array(routeTimesSchema).parse(known.fromArrival.page()),
  );
  expect((previous.bound(ROUTE) ?? 0) >= 3_000).toEqual(true);
});

// Guards against second runs that are begun at a stopping daemon and cut.
test("a request isn't hedged if the hedge can't end before its daemon", async () => {
  const world = createWorld([
    ({ signal }) =>
      new Promise((resolve) => {
        const giveUp = (): void =>
          resolve({ type: "unknown", reason: "given up" });
        signal.addEventListener("abort", giveUp, { once: true });
      }),
    () => wholeAnswer(200, "hedge"),
  ], { route: { kind: "idempotent", stages: [] } });
  recordEven(world.answerTimes, 1_000);
  recordEven(world.sendTimes, 1_000);
  await world.timer.advance(60_000);
  void world.lifecycle.stop(BUSY);
  await world.timer.advance(6_500);
  const served = world.service.serve(request(), world.reply);
  await world.timer.advance(600);
  expect(world.endpointCalls.length).toEqual(1);
  world.reply.disconnect();
  await world.timer.settle();
  await served;
});

// Guards against refusals of a whole route because one caller doesn't read its
// stream.
test("a caller that doesn't read doesn't count as a slow answer", async () => {
  const late = deferChain();
  const world = createChainWorld([
    () => stream("id: 1\ndata: a\n\n"),
    () => stream("id: 1\ndata: a\n\n"),
  ], [STAGES, late.chain]);
  recordEven(world.answerTimes, 1_000);
  recordEven(world.sendTimes, 200);
  await world.timer.advance(60_000);
  const unread = new RecordedReply();
  unread.write = () => new Promise(() => {});
  void world.service.serve(request({ attemptId: "a0" }), unread);
  await world.timer.advance(4_000);
  const served = world.service.serve(request(), world.reply);
  await world.timer.settle();
  void world.lifecycle.stop(BUSY);
  await world.timer.advance(3_000);
  late.end();
  await world.timer.settle();
  await served;
  expect(world.reply.status).toEqual(200);
});

// Guards against requests that are refused because the stages of another daemon
// count as the time of an answer.
test("a relayed answer isn't a time from the send", async () => {
  let isNeeded = false;
  const world = createWorld([() => {
    isNeeded = true;
    return { type: "unknown", reason: "cut" };
  }], {
    route: { kind: "idempotent", stages: [], attempts: 3 },
    relay: {
      get isNeeded() {
        return isNeeded;
      },
      verified: () => Promise.resolve(isNeeded),
      choosePeer: () => ({ daemonId: "d2", peer: "p", front: "f" }) as never,
      send: async () => {
        await new Promise<void>((resolve) =>
          world.timer.registerTimeout(resolve, 4_000)
        );
        return {
          type: "answered",
          answer: wholeAnswer(200, "served") as never,
        };
      },
    },
  });
  const served = world.service.serve(request(), world.reply);
  await world.timer.advance(4_500);
  await served;
  expect(world.reply.status).toEqual(200);
  expect(world.sendTimes.page()).toEqual([]);
});

// Guards against refusals by a daemon that has just started, of requests that a
// stopping daemon has found to end in time.
test("a daemon that knows nothing of a route serves what a stopping one relays", async () => {
  const world = createWorld([() => stream("id: 1\ndata: a\n\n")]);
  const served = world.service.serveRelayed({
    configurationVersion: 1,
    attemptsLeft: 1,
    senderEndsInMilliseconds: 7_000,
    request: request(),
  }, world.reply);
  await world.timer.settle();
  await served;
  expect(world.reply.status).toEqual(200);
});

// Guards against callers that return to stopping daemons, since stages that were
// out of the daemon's time name their own delay.
test("stages that end too late for their daemon name its retry delay", async () => {
  let refuse = (): void => {};
  const chain = new Promise<ChainOutcome>((resolve) => {
    refuse = () =>
      resolve({
        type: "refused",
        reason: "too_late",
        retryAfterMilliseconds: 400,
      });
  });
  const world = createWorld([], {
    chain,
    others: { isOtherServing: false, othersEndIn: [] },
  });
  recordEven(world.answerTimes, 1_000);
  await world.timer.advance(60_000);
  void world.lifecycle.stop(BUSY);
  await world.timer.advance(3_100);
  const served = world.service.serve(request(), world.reply);
  await world.timer.advance(3_400);
  refuse();
  await world.timer.settle();
  await served;
  expect(world.reply.status).toEqual(503);
  expect((world.reply.refusal?.retryAfterMilliseconds ?? 0) > 1_000)
    .toEqual(true);
});

// Guards against a daemon that stops answering while it refuses all requests
// that wait, because each refusal looks at all of them.
test("refusing all requests that wait takes time in proportion to them", async () => {
  const COUNT = 200;
  const timer = new ManualTimer();
  const times = new AnswerTimes(timer);
  recordEven(times, 1_000);
  await timer.advance(60_000);
  let questions = 0;
  const answerTimes = {
    bound: (route: string) => {
      questions++;
      return times.bound(route);
    },
    estimate: (route: string) => {
      questions++;
      return times.estimate(route);
    },
  };
  const lifecycle = {
    stopRequestedAt: 0,
    remainingMilliseconds: 900,
    minimumMilliseconds: 0,
  };
  const run = {
    options: {
      arrivedAt: timer.now(),
      route: { name: ROUTE, kind: "stream" },
      dependencies: {
        answerTimes,
        sendTimes: answerTimes,
        lifecycle,
        others: () => ({
          isOtherServing: true,
          isOtherStarting: false,
          othersEndIn: [],
        }),
      },
    },
    remaining: () => 8_000,
    remainingLifetime: () => lifecycle.remainingMilliseconds,
    now: () => {
      questions++;
      return timer.now();
    },
  } as unknown as RequestRun;
  const open = new Set(
    Array.from({ length: COUNT }, () => Object.create(run) as RequestRun),
  );
  const admission = new ShutdownAdmission(open);
  for (const waiting of open) {
    expect(admission.findSendRefusal(waiting) === undefined).toEqual(false);
  }
  expect(questions <= COUNT * 10).toEqual(true);
});
