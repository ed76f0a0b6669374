import type { EngineOrder, StageCall } from "kelpspar-shared";
import type { EndpointFaults } from "../../endpoint/endpoint_faults.ts";
import type { EngineSettings } from "../../endpoint/endpoint_settings.ts";
import { test } from "node:test";
import { expect } from "earl";
import fc from "fast-check";
import { ManualTimer, SeededRandom } from "kelpspar-shared";
import { endpointFaultsSchema } from "../../endpoint/endpoint_faults.ts";
import { engineSettingsSchema } from "../../endpoint/endpoint_settings.ts";
import {
  engineAnswer,
  engineTokens,
} from "../../endpoint/engine/engine_answer.ts";
import { Engine } from "../../endpoint/engine/engine.ts";
import { ExecutionLog } from "../../endpoint/execution_log.ts";
import { FaultInjector } from "../../endpoint/fault_injector.ts";
import { FaultyWriter } from "../../endpoint/faulty_writer.ts";
import { CollectingWriter } from "./collecting_writer.ts";

const INPUT = "spread plan token=abc tokens=12";
const WHOLE = engineAnswer("m", INPUT, 12);
const STEP_MILLISECONDS = 10;

const END = {
  type: "end",
  requestId: "r1",
  stageId: "generate",
  attemptId: "a2",
  length: WHOLE.length,
  runnerMilliseconds: expect.a(Number),
  tokensIn: expect.a(Number),
};

interface TestEngine {
  readonly timer: ManualTimer;
  readonly engine: Engine;
  readonly injector: FaultInjector;
  readonly log: ExecutionLog;
}

function createTestEngine(
  settings: Partial<EngineSettings> = {},
  options: {
    readonly faults?: Partial<EndpointFaults>;
    readonly timer?: ManualTimer;
    readonly seed?: number;
  } = {},
): TestEngine {
  const timer = options.timer ?? new ManualTimer();
  const faults = endpointFaultsSchema.parse(options.faults ?? {});
  const injector = new FaultInjector(
    faults,
    new SeededRandom(options.seed ?? 1),
  );
  const log = new ExecutionLog();
  const engine = new Engine({
    settings: engineSettingsSchema.parse({
      models: { m: "1" },
      stepMilliseconds: STEP_MILLISECONDS,
      stepPerCallMilliseconds: 0,
      prefillPerTokenMilliseconds: 0,
      ...settings,
    }),
    incarnation: "first",
    timer,
    injector,
    log,
  });
  return { timer, engine, injector, log };
}

function createCall(
  attemptId: string,
  changes: Partial<StageCall> = {},
): StageCall {
  return {
    requestId: "r1",
    stageId: "generate",
    attemptId,
    accountId: "large",
    priority: 0,
    remainingMilliseconds: 3_000,
    input: INPUT,
    model: "m",
    ...changes,
  };
}

test("a stream resumed at any offset, on any engine, yields the same text", async () => {
  // Guards against gaps, repeats or text of another request after a stream broke
  // and resumed, on the same engine by its attempt or on another by its partial
  // text, while records are duplicated, late, swapped or foreign. This happens
  // when offsets and attempt ids are not preserved.
  const share = fc.constantFrom(0, 0.4);
  const faults = fc.record({
    duplicateShare: share,
    reorderShare: share,
    lateShare: share,
    foreignShare: share,
  });
  await fc.assert(
    fc.asyncProperty(
      fc.record({
        faults,
        seed: fc.integer(),
        breakAfter: fc.integer({ min: 0, max: 11 }),
        gap: fc.integer({ min: 0, max: 150 }),
        lost: fc.integer({ min: 0, max: 9 }),
        elsewhere: fc.boolean(),
      }),
      async ({ faults, seed, breakAfter, gap, lost, elsewhere }) => {
        const { timer, engine, injector } = createTestEngine({}, {
          faults,
          seed,
        });
        const first = new CollectingWriter();
        const firstCall = createCall("a1");
        const onBreak = engine.call(firstCall, first);
        await timer.advance(breakAfter * STEP_MILLISECONDS);
        onBreak();
        const received = first.mergeChunks("", "a1");
        expect(WHOLE.startsWith(received)).toEqual(true);
        const partialText = received.slice(0, received.length - lost);
        await timer.advance(gap);
        const second = new CollectingWriter();
        const resumeOffset = partialText.length;
        const next = elsewhere
          ? createTestEngine({}, { timer, seed }).engine
          : engine;
        const how = elsewhere ? { partialText } : { resumeAttemptId: "a1" };
        next.call(
          createCall("a2", { resumeOffset, ...how }),
          new FaultyWriter(second, injector),
        );
        await timer.advance(200);
        expect(second.mergeChunks(partialText, "a2")).toEqual(WHOLE);
        expect(second.startsAtOrAfter(resumeOffset)).toEqual(true);
        const tokensOut = elsewhere ? tokensAfter(resumeOffset) : 12;
        expect<unknown>(second.last).toEqual({ ...END, tokensOut });
        expect(second.ended).toEqual(true);
      },
    ),
    { seed: 1, numRuns: 100 },
  );
});

test("an attempt is kept for its grace period and only for its own request", async () => {
  const { timer, engine, log } = createTestEngine({ graceMilliseconds: 50 });
  const onBreak = engine.call(createCall("a1"), new CollectingWriter());
  await timer.advance(20);
  onBreak();
  const foreign = resume(engine, createCall("a2", { requestId: "r2" }));
  expect(refusalOf(foreign)).toEqual("unknown_attempt");
  await timer.advance(50);
  const late = resume(engine, createCall("a3"));
  expect(refusalOf(late)).toEqual("unknown_attempt");
  expect(log.report()).toLooseEqual({
    ...log.report(),
    byToken: { abc: 1 },
    completed: 0,
    refused: 2,
  });
});

test("urgent calls run first, and calls beyond the queue limit are refused", async () => {
  const { timer, engine } = createTestEngine({
    maximumBatch: 1,
    maximumWaiting: 2,
  });
  const order: string[] = [];
  const [running, low, urgent, refused] = ["a0", "a1", "a2", "a3"].map(
    (attemptId, index) => {
      const writer = new CollectingWriter();
      const priority = [0, 5, 1, 0][index] ?? 0;
      const end = writer.end.bind(writer);
      writer.end = () => {
        order.push(attemptId);
        end();
      };
      engine.call(createCall(attemptId, { priority }), writer);
      return writer;
    },
  );
  expect(refusalOf(refused)).toEqual("overloaded");
  await timer.advance(1_000);
  expect(order).toEqual(["a3", "a0", "a2", "a1"]);
  for (const writer of [running, low, urgent]) {
    expect(writer?.mergeChunks("", writer.last?.attemptId ?? "")).toEqual(
      WHOLE,
    );
  }
});

test("a cached prefix needs no prefill, and its events are delayed", async () => {
  const { timer, engine } = createTestEngine({
    prefillPerTokenMilliseconds: 10,
    prefixShare: 1,
    cacheTokens: 10,
    eventDelayMilliseconds: 70,
  });
  const times = ["p1", "p1", "p2", "p1"].map((prefixHash) => async () => {
    const writer = new CollectingWriter();
    const startedAt = timer.now();
    engine.call(createCall(prefixHash, { prefixHash }), writer);
    while (!writer.ended) await timer.advance(1);
    return timer.now() - startedAt;
  });
  const spent: number[] = [];
  for (const run of times) spent.push(await run());
  expect(spent).toEqual([200, 120, 200, 200]);
  const { events, lastSequence } = engine.cache.eventsAfter(1);
  expect(events).toEqual([
    { sequence: 2, type: "stored", prefixHash: "p2" },
    { sequence: 3, type: "evicted", prefixHash: "p1" },
    { sequence: 4, type: "stored", prefixHash: "p1" },
    { sequence: 5, type: "evicted", prefixHash: "p2" },
  ]);
  expect(lastSequence).toEqual(5);
});

test("orders with a stale fencing number are refused if fencing is checked", async () => {
  // An engine that doesn't check fencing numbers unloads a model of the current
  // lease holder: the previous holder pauses, its lease expires, the new holder
  // sends orders, then the previous one resumes and sends its own.
  for (const checksFencing of [true, false]) {
    const { timer, engine } = createTestEngine({ checksFencing });
    expect(engine.order(createOrder(7, { m: "2" }))).toEqual(true);
    expect(engine.order(createOrder(6, { old: "1" }))).toEqual(!checksFencing);
    await timer.advance(499);
    expect(engine.load().models).toEqual({});
    const early = new CollectingWriter();
    engine.call(createCall("a1"), early);
    expect(refusalOf(early)).toEqual("wrong_model");
    await timer.advance(500);
    expect(engine.load().models).toEqual(
      checksFencing ? { m: "2" } : { old: "1" },
    );
  }
});

test("a leaving engine finishes its calls", async () => {
  const { timer, engine } = createTestEngine({ graceMilliseconds: 30 });
  const running = new CollectingWriter();
  engine.call(createCall("a1"), running);
  const repeated = createCall("a1", { input: "tokens=1" });
  engine.call(repeated, new CollectingWriter());
  let left = false;
  void engine.leave().then(() => left = true);
  const late = new CollectingWriter();
  engine.call(createCall("a2"), late);
  expect(refusalOf(late)).toEqual("leaving");
  await timer.advance(149);
  expect(left).toEqual(false);
  expect(running.mergeChunks("", "a1")).toEqual(WHOLE);
  await timer.advance(1);
  expect(left).toEqual(true);
});

/** Counts the tokens of the answer that end after an offset. */
function tokensAfter(offset: number): number {
  let end = 0;
  return engineTokens("m", INPUT, 12)
    .filter((token) => (end += token.length) > offset).length;
}

/** The reason of a refusal; "started" if the call may have run. */
function refusalOf(writer: CollectingWriter | undefined): string {
  const last = writer?.last;
  if (last?.type !== "failure") return "none";
  return last.started ? "started" : last.reason;
}

function resume(engine: Engine, call: StageCall): CollectingWriter {
  const writer = new CollectingWriter();
  engine.call({ ...call, resumeAttemptId: "a1", resumeOffset: 0 }, writer);
  return writer;
}

function createOrder(
  fencingNumber: number,
  models: Record<string, string>,
): EngineOrder {
  const desired = { models, adapters: [], role: "any" } as const;
  return { group: "g", fencingNumber, desired };
}
