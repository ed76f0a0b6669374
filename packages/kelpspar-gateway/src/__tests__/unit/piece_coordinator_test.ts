import type { PieceTerms } from "../../configuration/service_definition.ts";
import type {
  PieceCall,
  PieceCallAnswer,
  PieceClient,
} from "../../pieces/piece_call.ts";
import { expect } from "earl";
import { ManualTimer, SeededRandom } from "kelpspar-shared";
import { test } from "node:test";
import { ActiveConfiguration } from "../../configuration/active_configuration.ts";
import { EndpointRateLimiter } from "../../endpoints/endpoint_rate_limiter.ts";
import { EndpointLimits } from "../../endpoints/endpoint_limits.ts";
import { EndpointRegistry } from "../../endpoints/endpoint_registry.ts";
import { LoopDelay } from "../../load/loop_delay.ts";
import { PieceCoordinator } from "../../pieces/piece_coordinator.ts";
import { createRetryGate } from "../support/create_retry_gate.ts";

interface OpenCall {
  readonly call: PieceCall;
  readonly answer: (answer: PieceCallAnswer) => void;
}

/** Keeps calls open until the test answers them. */
class ManualPieceClient implements PieceClient {
  readonly open: OpenCall[] = [];
  readonly freed: string[] = [];
  /** Answer of `freeResults`. */
  freeing: Promise<boolean> = Promise.resolve(true);

  runPieces(call: PieceCall): Promise<PieceCallAnswer> {
    call.onConnected();
    return new Promise((answer) => {
      this.open.push({ call, answer });
      call.signal.addEventListener(
        "abort",
        () =>
          answer({
            type: "failed",
            isCertain: false,
            isSent: true,
            reason: "given up",
          }),
      );
    });
  }

  freeResults(_: unknown, handles: readonly string[]): Promise<boolean> {
    this.freed.push(...handles);
    return this.freeing;
  }

  readRoom(): Promise<undefined> {
    return Promise.resolve(undefined);
  }

  /** Answers the oldest open call at an endpoint: every piece is made. */
  make(endpointId: string): void {
    const index = this.open.findIndex(({ call }) =>
      call.endpoint.id === endpointId
    );
    const [found] = this.open.splice(index, 1);
    if (index < 0 || found === undefined) throw new Error("No such call");
    found.answer({
      type: "answered",
      pieces: found.call.pieces.map((piece) => ({
        type: "made",
        handle:
          `${endpointId}/${piece.attemptId}.${piece.stage}.${piece.piece}`,
      })),
    });
  }
}

function terms(batch: number, resultBytes: number): PieceTerms {
  return {
    batch,
    slots: 1,
    callMilliseconds: 100,
    pieceMilliseconds: 10,
    resultBytes,
    keptMilliseconds: 4_000,
  };
}

interface World {
  readonly timer: ManualTimer;
  readonly client: ManualPieceClient;
  readonly registry: EndpointRegistry;
  readonly run: (
    attemptId: string,
    pieces: readonly number[],
    /** Time until the deadline, milliseconds. */
    remaining?: number,
  ) => void;
  /** Outcomes of chains by attempt. */
  readonly outcomes: ReadonlyMap<string, string>;
}

function createWorld(room = 10_000, slack = 50): World {
  const timer = new ManualTimer();
  const client = new ManualPieceClient();
  const registry = new EndpointRegistry();
  const configuration = new ActiveConfiguration();
  const services = { encode: terms(1, room), rerank: terms(6, room) };
  configuration.applyIfNewer({
    version: 1,
    routes: [],
    services: Object.entries(services).map(([name, pieces]) => ({
      name,
      engineSlots: undefined,
      pieces,
    })),
    limits: {
      headerBytes: 1,
      bodyBytes: 1,
      headerTimeoutMilliseconds: 1,
      idleTimeoutMilliseconds: 1,
    },
    accounts: undefined,
  });
  for (const id of ["encode-0", "encode-1", "rerank-0"]) {
    registry.upsert({
      id,
      bornAt: 0,
      service: id.slice(0, -2),
      address: id,
      zone: "a",
      slots: 1,
      isDraining: false,
    }, 0);
  }
  const log = { info: () => {}, warn: () => {} };
  const retryGate = createRetryGate(timer, { slack });
  const coordinator = new PieceCoordinator({
    loopDelay: new LoopDelay(timer),
    isIsolated: () => false,
    freeElsewhere: () => {},
    configuration,
    registry,
    client,
    rateLimiter: new EndpointRateLimiter({
      chooser: "coordinator",
      limits: new EndpointLimits(),
      configuration,
      random: new SeededRandom(2),
      senderCount: () => 1,
    }),
    timer,
    retryGate,
    log,
  });
  coordinator.register();
  const outcomes = new Map<string, string>();
  const run: World["run"] = (attemptId, pieces, remaining = 60_000) => {
    void coordinator.run({
      attemptId,
      pieceKey: "k",
      stages: [
        {
          service: "encode",
          after: [],
          resultBytes: 100,
          pieces: pieces[0] ?? 0,
        },
        {
          service: "rerank",
          after: [0],
          resultBytes: 100,
          pieces: pieces[1] ?? 0,
        },
      ],
      remainingMilliseconds: remaining,
      objectiveMilliseconds: remaining / 2,
      kind: "model",
      tailMilliseconds: 100,
      priority: 0,
    }, new AbortController().signal).then((outcome) =>
      outcomes.set(
        attemptId,
        outcome.type === "done" ? "done" : outcome.reason,
      )
    );
  };
  return { timer, client, registry, run, outcomes };
}

test("a piece is never sent with only some of its inputs", async () => {
  // Guards against assuming that a queued piece keeps its inputs: while it waits
  // for a busy endpoint, the maker of one input crashes, and the endpoint becomes
  // free before that input is made again. The result would be made from half of
  // the request's inputs.
  const { timer, client, registry, run } = createWorld();
  run("other", [0, 1]);
  run("a", [2, 1]);
  await timer.settle();
  client.make("encode-0");
  client.make("encode-1");
  await timer.settle();
  registry.retire({ id: "encode-1", bornAt: 0 });
  await timer.settle();
  client.make("rerank-0");
  await timer.advance(100);
  const sent = client.open.filter(({ call }) =>
    call.endpoint.id === "rerank-0"
  );
  expect(sent.length).toEqual(0);
  client.make("encode-0");
  await timer.advance(100);
  const resent = client.open.find(({ call }) =>
    call.endpoint.id === "rerank-0"
  );
  expect(resent?.call.pieces[0]?.inputs.length).toEqual(2);
});

test("a leaving endpoint finishes its calls and its results are used", async () => {
  // Guards against treating a leaving endpoint as gone: the call in flight is
  // aborted and its results are made again elsewhere, so chains take one call
  // longer and stage work is wasted.
  const { timer, client, registry, run } = createWorld();
  run("a", [2, 1]);
  await timer.settle();
  client.make("encode-0");
  await timer.settle();
  for (const id of ["encode-0", "encode-1"]) {
    const entry = registry.find(id)?.entry;
    if (entry !== undefined) registry.upsert({ ...entry, isDraining: true }, 0);
  }
  await timer.settle();
  client.make("encode-1");
  await timer.advance(100);
  const reader = client.open.find(({ call }) =>
    call.endpoint.id === "rerank-0"
  );
  expect([...reader?.call.pieces[0]?.inputs ?? []].sort())
    .toEqual(["encode-0/a.0.0", "encode-1/a.0.1"]);
});

test("room counts as free once the maker has freed it, not when requested", async () => {
  // Guards against counting room as free when the release is sent: the next call
  // reaches the endpoint before the release does and is rejected for lack of
  // room, as were 551 pieces of a quiet day.
  const { timer, client, run } = createWorld(100);
  let free = (_: boolean): void => {};
  client.freeing = new Promise((resolve) => {
    free = resolve;
  });
  run("a", [1, 1]);
  await timer.settle();
  client.make("encode-0");
  await timer.settle();
  client.make("rerank-0");
  await timer.advance(20);
  expect(client.freed).toEqual(["encode-0/a.0.0"]);
  run("b", [1, 0]);
  run("c", [1, 0]);
  await timer.advance(20);
  expect(client.open.map(({ call }) => call.endpoint.id)).toEqual(["encode-1"]);
  free(true);
  await timer.advance(60);
  expect(client.open.map(({ call }) => call.endpoint.id))
    .toEqual(["encode-1", "encode-0"]);
});

// Guards against pieces that are sent to a zone under evacuation.
test("pieces aren't sent to endpoints of an evacuated zone", async () => {
  const { timer, client, registry, run } = createWorld();
  const known = registry.find("encode-0")?.entry;
  if (known !== undefined) registry.upsert({ ...known, zone: "b" }, 0);
  registry.setEvacuatedZones(new Set(["b"]), 0);
  run("a", [2, 0]);
  await timer.advance(100);
  const sentTo = client.open.map(({ call }) => call.endpoint.id);
  expect(new Set(sentTo)).toEqual(new Set(["encode-1"]));
});

// Guards against callers that wait for pieces that no endpoint may make.
test("chains fail when all zones of a service that they wait for are evacuated", async () => {
  const { timer, client, registry, run, outcomes } = createWorld();
  run("served", [1, 0]);
  run("other", [1, 0]);
  run("waits", [1, 0]);
  await timer.advance(10);
  registry.setEvacuatedZones(new Set(["a"]), 0);
  await timer.advance(10);
  expect(outcomes.get("waits")).toEqual("no_endpoint");
  client.make("encode-0");
  client.make("encode-1");
  await timer.advance(10);
  expect(outcomes.get("served")).toEqual("done");
});

// Guards against pieces that are made again without spending the retry budget.
test("pieces whose results are gone spend the retry budget", async () => {
  const { client, registry, run, timer, outcomes } = createWorld(10_000, 3);
  run("a", [1, 1]);
  await timer.settle();
  let sends = 0;
  for (let restarts = 0; restarts < 4 && outcomes.size === 0; restarts++) {
    const maker = client.open[0]?.call.endpoint.id ?? "";
    sends += client.open.filter(({ call }) => call.pieces[0]?.stage === 0)
      .length;
    client.make(maker);
    await timer.settle();
    const entry = registry.find(maker)?.entry;
    if (entry !== undefined) registry.retire(entry);
    await timer.settle();
  }
  // The first send is free, and the slack of 3 lends one retry.
  expect(sends).toBeLessThanOrEqual(2);
});

// Guards against chains that fail before the fleet was asked for its slack.
test("a piece whose endpoint fails is sent again without earlier requests", async () => {
  const { client, run, timer, outcomes } = createWorld();
  run("a", [1, 1], 2_000);
  await timer.settle();
  const [first] = client.open.splice(0, 1);
  first?.answer({
    type: "failed",
    isCertain: false,
    isSent: true,
    reason: "cut",
  });
  await timer.settle();
  expect(outcomes.size).toEqual(0);
  expect(client.open.length).toEqual(1);
});

const REFUSED: PieceCallAnswer = {
  type: "failed",
  isCertain: true,
  isSent: false,
  reason: "connect ECONNREFUSED",
};

// Guards against answers lost for want of a retry that no endpoint has seen.
test("a piece whose connection was refused is still sent for the first time", async () => {
  const { client, run, timer, outcomes } = createWorld(10_000, 0);
  run("a", [1, 0], 2_000);
  await timer.settle();
  const [refused] = client.open.splice(0, 1);
  refused?.answer(REFUSED);
  await timer.settle();
  expect(outcomes.size).toEqual(0);
  expect(client.open.length).toEqual(1);
});

// Guards against pieces that are sent for the first time twice.
test("a piece that was sent is a repeat although a later connection was refused", async () => {
  const { client, run, timer, outcomes } = createWorld(10_000, 3);
  run("a", [1, 0], 2_000);
  for (const answer of [{ ...REFUSED, isSent: true }, REFUSED, REFUSED]) {
    await timer.advance(800);
    const [call] = client.open.splice(0, 1);
    call?.answer(answer);
  }
  await timer.settle();
  const [last] = client.open.splice(0, 1);
  last?.answer({ ...REFUSED, isSent: true });
  await timer.settle();
  // The slack of 3 lends one retry, which the last call has spent.
  expect(client.open.length).toEqual(0);
  expect(outcomes.get("a")).toEqual("retry_budget");
});

// Guards against a flood of connections to endpoints that are down.
test("endpoints that refuse connections are left alone for a while", async () => {
  const { client, run, timer } = createWorld();
  run("a", [1, 0], 5_000);
  await timer.settle();
  let calls = 0;
  for (let waited = 0; waited < 600; waited += 50) {
    for (const { answer } of client.open.splice(0)) {
      calls++;
      answer(REFUSED);
    }
    await timer.advance(50);
  }
  expect(calls).toEqual(2);
  await timer.advance(200);
  expect(client.open.length).toEqual(1);
});

const FULL: PieceCallAnswer = { type: "full" };

// Guards against chains that hold room until their results have expired.
test("a chain whose results expire before its retry is refused at once", async () => {
  const { client, run, timer, outcomes } = createWorld(10_000, 0);
  run("a", [1, 1]);
  await timer.settle();
  client.make("encode-0");
  await timer.settle();
  client.open.splice(0, 1)[0]?.answer(FULL);
  // One request in two seconds earns a retry in ten, and results last for four.
  await timer.advance(500);
  expect(outcomes.get("a")).toEqual("retry_budget");
});

// Guards against a chain that waits behind pieces of one that can't go on.
test("a chain that can't afford its retries doesn't delay another", async () => {
  const { client, run, timer, outcomes } = createWorld(10_000, 0);
  run("large", [0, 5], 20_000);
  run("small", [0, 1], 21_000);
  await timer.settle();
  client.open.splice(0, 1)[0]?.answer(FULL);
  // Two requests in two seconds earn one retry in five, so five in 25.
  await timer.advance(300);
  expect([...outcomes]).toEqual([["large", "retry_budget"]]);
});

// Guards against room taken by results that nobody can free.
test("results of a chain that failed during a call are freed", async () => {
  const { client, run, timer, outcomes } = createWorld(10_000, 0);
  run("a", [2, 0], 2_000);
  await timer.settle();
  client.open.splice(0, 1)[0]?.answer(FULL);
  await timer.advance(200);
  expect(outcomes.get("a")).toEqual("retry_budget");
  client.make("encode-1");
  await timer.advance(50);
  expect(client.freed).toEqual(["encode-1/a.0.1"]);
});

// Guards against calls that occupy an endpoint for good.
test("a call that is overdue is aborted once its chain has failed", async () => {
  const { client, run, timer } = createWorld(10_000, 0);
  run("a", [2, 0], 2_000);
  await timer.settle();
  client.open.splice(0, 1)[0]?.answer(FULL);
  await timer.advance(200);
  const [call] = client.open;
  await timer.advance(5_000);
  expect(call?.call.signal.aborted).toEqual(true);
});

// Guards against pieces that are given up before others may make them.
test("a stage endpoint that pauses keeps its pieces if no retry is left", async () => {
  const { timer, client, run, outcomes } = createWorld(10_000, 0);
  run("a", [1, 0], 5_000);
  await timer.settle();
  const [{ call } = { call: undefined }] = client.open;
  await timer.advance(1_500);
  client.make(call?.endpoint.id ?? "");
  await timer.advance(100);
  expect(outcomes.get("a")).toEqual("done");
});
