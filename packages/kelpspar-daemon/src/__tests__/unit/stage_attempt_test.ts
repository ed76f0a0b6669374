import type { StageRecord } from "kelpspar-shared";
import type { StageAttemptOptions } from "../../requests/stage_attempt.ts";
import { expect } from "earl";
import fc from "fast-check";
import { test } from "node:test";
import { ConnectionMonitor } from "kelpspar-decisions/routing";
import { ManualTimer, toKelpsparError } from "kelpspar-shared";
import { runStageAttempt } from "../../requests/stage_attempt.ts";
import { StageProgress } from "../../requests/stage_progress.ts";
import { FakeEndpoints } from "../support/fake_endpoints.ts";

const TEXT = "spread lime at 2 t/ha on the north quarter";
const TIMEOUT_MILLISECONDS = 500;
const ENDPOINT = {
  endpointId: "encode-1",
  incarnation: "a",
  address: "127.0.0.1",
  port: 1,
  availabilityZone: "a",
  service: "encode",
  checksFencing: false,
};
const CALL = {
  requestId: "request",
  stageId: "stage",
  attemptId: "attempt",
  accountId: "small",
  priority: 5,
  remainingMilliseconds: 1_000,
  input: "",
};
const END = { runnerMilliseconds: 1, tokensIn: 1, tokensOut: 1 };

class AttemptHarness {
  readonly timer = new ManualTimer();
  readonly endpoints = new FakeEndpoints();
  readonly progress = new StageProgress();
  readonly foreign: StageRecord[] = [];
  readonly signal = new AbortController();
  /** Undefined while the attempt runs; then "whole" or the error's result. */
  ending: string | undefined;
  outcome: string | undefined;

  constructor(changes: Partial<StageAttemptOptions> = {}) {
    this.endpoints.onCall = () => {};
    const options: StageAttemptOptions = {
      endpoints: this.endpoints,
      endpoint: ENDPOINT,
      call: CALL,
      newConnection: false,
      progress: this.progress,
      timer: this.timer,
      connectionMonitor: new ConnectionMonitor({
        effect: "none",
        isResumable: false,
        progressTimeoutMilliseconds: TIMEOUT_MILLISECONDS,
        startedAt: 0,
      }),
      p99GapMilliseconds: () => undefined,
      evaluateSilence: async () => ({
        connection: "destroy",
        endpoint: "keep",
        call: "resend_elsewhere",
      }),
      signal: this.signal.signal,
      abort: new AbortController(),
      onForeignRecord: (record) => this.foreign.push(record),
      ...changes,
    };
    runStageAttempt(options).then(
      () => this.ending = "whole",
      (thrown) => {
        const error = toKelpsparError(thrown);
        this.ending = error.result;
        this.outcome = error.outcome;
      },
    );
  }

  get call(): FakeEndpoints["calls"][number] {
    const [call] = this.endpoints.calls;
    if (call === undefined) throw new Error("No call was made");
    return call;
  }
}

/** Chunks that cover the text, some duplicated, and the end, in any order. */
const records = fc.tuple(
  fc.array(fc.nat(TEXT.length), { maxLength: 6 }),
  fc.array(
    fc.record({ at: fc.nat(TEXT.length), length: fc.nat(9) }),
    { maxLength: 4 },
  ),
).chain(([cuts, repeats]) => {
  const edges = [0, ...cuts.toSorted((a, b) => a - b), TEXT.length];
  const pieces = edges.slice(1).map((to, index) => [edges[index] ?? 0, to]);
  const again = repeats.map(({ at, length }) => [at, at + length]);
  const chunks: object[] = [...pieces, ...again].map(([from = 0, to]) => ({
    type: "chunk",
    offset: from,
    text: TEXT.slice(from, to),
  }));
  const end = { type: "end", length: TEXT.length, ...END };
  return fc.shuffledSubarray([...chunks, end], {
    minLength: chunks.length + 1,
  });
});

/** Records of another request, stage or attempt. */
const foreignRecords = fc.record({
  ids: fc.constantFrom(
    { requestId: "other" },
    { stageId: "other" },
    { attemptId: "earlier" },
  ),
  record: fc.constantFrom(
    { type: "chunk", offset: 0, text: "FOREIGN" },
    { type: "end", length: 7, ...END },
    { type: "failure", started: false, reason: "failed" },
  ),
}).map(({ ids, record }) => ({ ...record, ...ids }));

test("late, duplicate, reordered and foreign records never change a result", () =>
  fc.assert(
    fc.asyncProperty(
      records,
      fc.array(foreignRecords, { maxLength: 4 }),
      fc.nat(8),
      async (own, foreign, at) => {
        const harness = new AttemptHarness();
        const sent = own.toSpliced(at, 0, ...foreign);
        for (const record of sent) harness.call.push(record);
        harness.call.close();
        await harness.timer.settle();
        expect(harness.ending).toEqual("whole");
        expect(harness.progress.text).toEqual(TEXT);
        expect(harness.foreign.length).toEqual(foreign.length);
      },
    ),
    { seed: 1, numRuns: 200 },
  ));

test("a stream that ends before its result is complete fails the call", async () => {
  const streams: ((call: AttemptHarness["call"]) => void)[] = [
    (call) => call.chunk(0, "li"),
    (call) => call.end(4),
    (call) => {
      call.chunk(0, "li");
      call.end(4);
    },
    (call) => {
      call.chunk(2, "me");
      call.end(4);
    },
  ];
  for (const send of streams) {
    const harness = new AttemptHarness();
    send(harness.call);
    harness.call.close();
    await harness.timer.settle();
    expect([harness.ending, harness.outcome])
      .toEqual(["endpoint_failed", "outcome_unknown"]);
  }
});

test("a complete result is accepted although its stream breaks or stays open", async () => {
  const broken = new AttemptHarness();
  broken.call.end(4);
  broken.call.chunk(0, "lime");
  broken.call.fail(new Error("reset"));
  await broken.timer.settle();
  expect(broken.ending).toEqual("whole");
  const open = new AttemptHarness();
  open.call.chunk(0, "lime");
  open.call.end(4);
  await open.timer.advance(TIMEOUT_MILLISECONDS / 2);
  expect([open.ending, open.progress.text]).toEqual(["whole", "lime"]);
});

test("silence ends a call, and only records of that call reset the timeout", async () => {
  // Failure: a request hangs until its deadline on a dead connection. After a
  // few records the connection delivers nothing more of the call, and without
  // an error it was treated as working.
  const harness = new AttemptHarness();
  const step = TIMEOUT_MILLISECONDS - 100;
  for (let offset = 0; offset < 3; offset++) {
    await harness.timer.advance(step);
    expect(harness.ending).toEqual(undefined);
    harness.call.chunk(offset, "x");
  }
  await harness.timer.advance(step);
  harness.call.push({
    type: "chunk",
    offset: 3,
    text: "x",
    attemptId: "other",
  });
  await harness.timer.advance(TIMEOUT_MILLISECONDS - step + 50);
  expect([harness.ending, harness.outcome])
    .toEqual(["endpoint_silent", "outcome_unknown"]);
  expect(harness.call.options.signal.aborted).toEqual(true);
});

test("a call that the probe allows to continue may still complete", async () => {
  const harness = new AttemptHarness({
    evaluateSilence: async () => undefined,
  });
  await harness.timer.advance(10 * TIMEOUT_MILLISECONDS);
  expect(harness.ending).toEqual(undefined);
  harness.call.answer("lime");
  await harness.timer.settle();
  expect(harness.ending).toEqual("whole");
});

test("only the endpoint's failure record proves that a call did not start", async () => {
  for (const started of [true, false]) {
    const harness = new AttemptHarness();
    harness.call.push({ type: "failure", reason: "overloaded", started });
    await harness.timer.settle();
    expect([harness.ending, harness.outcome]).toEqual([
      "endpoint_overloaded",
      started ? "outcome_unknown" : "not_run",
    ]);
  }
  const aborted = new AttemptHarness();
  aborted.signal.abort(new Error("gone"));
  await aborted.timer.settle();
  expect(aborted.outcome).toEqual("outcome_unknown");
});
