import type { EndpointAnswer } from "../../requests/endpoint_call.ts";
import type { ChainOutcome } from "../../pieces/chain_outcome.ts";
import type { ServiceRoute } from "../../configuration/service_route.ts";
import type { ScriptedAnswer, World } from "../support/request_world.ts";
import { expect } from "earl";
import { test } from "node:test";
import {
  createWorld,
  request,
  stream,
  wholeAnswer,
} from "../support/request_world.ts";

const ROUTE = "r";
const ANSWER_MILLISECONDS = 1_000;
const BUSY = { isBusy: () => true, isReplaced: () => true };
/** Less than an answer takes is left of the grace period after this time. */
const TOO_LATE_MILLISECONDS = 6_800;
const STAGES: ChainOutcome = {
  type: "done",
  results: [{
    handle: "h1",
    makerId: "m",
    makerAddress: "10.0.1.1:80",
    makerZone: "a",
  }],
};

/** A daemon whose stages end when `endStages` is called. */
interface LateStages {
  readonly world: World;
  readonly endStages: () => void;
}

function createLateStages(
  script: readonly ScriptedAnswer[],
  route: Partial<ServiceRoute> = {},
): LateStages {
  let endStages = (): void => {};
  const chain = new Promise<ChainOutcome>((resolve) => {
    endStages = () => resolve(STAGES);
  });
  const world = createWorld(script, { route, chain });
  for (let count = 0; count < 20; count++) {
    world.answerTimes.record(ROUTE, ANSWER_MILLISECONDS);
  }
  return { world, endStages: () => endStages() };
}

/** Serves a request whose stages end when too little of the grace is left. */
async function serveWithLateStages(
  { world, endStages }: LateStages,
  { arrivesAfterMilliseconds }: { readonly arrivesAfterMilliseconds: number },
): Promise<void> {
  void world.lifecycle.stop(BUSY);
  await world.timer.advance(arrivesAfterMilliseconds);
  const served = world.service.serve(request(), world.reply);
  await world.timer.advance(TOO_LATE_MILLISECONDS - arrivesAfterMilliseconds);
  endStages();
  await world.timer.settle();
  await served;
}

// Guards against streams that are begun and cut because their stages ended late.
test("a stream isn't begun if its stages end too late before its daemon", async () => {
  const stages = createLateStages([() => stream("id: 1\ndata: a\n\n")]);
  await serveWithLateStages(stages, { arrivesAfterMilliseconds: 3_100 });
  const { endpointCalls, reply } = stages.world;
  expect([endpointCalls.length, reply.status]).toEqual([0, 503]);
  expect((reply.refusal?.retryAfterMilliseconds ?? 0) > 0).toEqual(true);
});

// Guards against requests that run at most once and lose their answer because
// their stages ended late.
test("a request isn't run if its stages end too late before its daemon", async () => {
  for (const kind of ["non_idempotent", "idempotent"] as const) {
    const stages = createLateStages([() => wholeAnswer(200, "done")], { kind });
    await serveWithLateStages(stages, { arrivesAfterMilliseconds: 3_100 });
    const { endpointCalls, reply } = stages.world;
    expect([endpointCalls.length, reply.status]).toEqual([0, 503]);
  }
});

// Guards against streams that are begun and cut because the stop came while
// their stages ran.
test("a stream isn't begun if the stop came while its stages ran", async () => {
  const stages = createLateStages([() => stream("id: 1\ndata: a\n\n")]);
  const { world, endStages } = stages;
  const served = world.service.serve(request(), world.reply);
  await world.timer.settle();
  void world.lifecycle.stop(BUSY);
  await world.timer.advance(TOO_LATE_MILLISECONDS);
  endStages();
  await world.timer.settle();
  await served;
  expect([world.endpointCalls.length, world.reply.status]).toEqual([0, 503]);
});

// Guards against streams that are begun and cut because an endpoint rejected
// them late.
test("a rejected stream isn't sent again if it can't end before its daemon", async () => {
  let reject = (): void => {};
  const rejected = new Promise<EndpointAnswer>((resolve) => {
    reject = () => resolve({ type: "not_run", refusal: "full" });
  });
  const world = createWorld([
    () => rejected,
    () => stream("id: 1\ndata: a\n\n"),
  ], { route: { isResumable: false, stages: [] } });
  for (let count = 0; count < 20; count++) {
    world.answerTimes.record(ROUTE, ANSWER_MILLISECONDS);
  }
  void world.lifecycle.stop(BUSY);
  await world.timer.advance(TOO_LATE_MILLISECONDS - 300);
  const served = world.service.serve(request(), world.reply);
  await world.timer.advance(300);
  reject();
  await world.timer.settle();
  await served;
  expect([world.endpointCalls.length, world.reply.status]).toEqual([1, 503]);
});

// Guards against callers that wait for stages although nothing can come of it.
test("a request is refused while it waits once its answer can't end in time", async () => {
  const { world, endStages } = createLateStages([]);
  const stopRefusals = world.service.registerShutdownRefusals();
  void world.lifecycle.stop(BUSY);
  await world.timer.advance(3_100);
  const served = world.service.serve(request(), world.reply);
  await world.timer.advance(3_300);
  expect(world.reply.status).toEqual(undefined);
  await world.timer.advance(TOO_LATE_MILLISECONDS - 6_400);
  expect([world.endpointCalls.length, world.reply.status]).toEqual([0, 503]);
  stopRefusals();
  endStages();
  await world.timer.settle();
  await served;
});

// Guards against refusals by the time of stages that are already done.
test("a request is sent if only its stages were slow", async () => {
  const stages = createLateStages([() => stream("id: 1\ndata: a\n\n")]);
  for (let count = 0; count < 20; count++) {
    stages.world.sendTimes.record(ROUTE, 200);
  }
  await serveWithLateStages(stages, { arrivesAfterMilliseconds: 3_100 });
  const { endpointCalls, reply } = stages.world;
  expect([endpointCalls.length, reply.status]).toEqual([1, 200]);
});

// Guards against relayed streams that are cut because the daemon that relayed
// them ends.
test("a relayed stream isn't begun if the relaying daemon ends before it", async () => {
  const { world, endStages } = createLateStages([
    () => stream("id: 1\ndata: a\n\n"),
  ]);
  const served = world.service.serveRelayed({
    configurationVersion: 1,
    attemptsLeft: 1,
    senderEndsInMilliseconds: 4_000,
    request: request(),
  }, world.reply);
  await world.timer.advance(3_500);
  endStages();
  await world.timer.settle();
  await served;
  expect([world.endpointCalls.length, world.reply.status]).toEqual([0, 503]);
});
