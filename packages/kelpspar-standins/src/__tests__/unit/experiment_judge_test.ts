import type { FailureRecord } from "kelpspar-shared";
import type { CallResult } from "../../experiments/caller/call_result.ts";
import type { SubmissionEnd } from "../../experiments/caller/submission.ts";
import type { PlannedRequest } from "../../experiments/load/planned_request.ts";
import type { SiteEndpoint } from "../../site/site_endpoint.ts";
import { expect } from "earl";
import { ManualTimer } from "kelpspar-shared";
import { test } from "node:test";
import { ExecutionRecorder } from "../../experiments/measure/execution_recorder.ts";
import { RunnerTimeRecorder } from "../../experiments/measure/runner_time_recorder.ts";
import { summarize } from "../../experiments/measure/summarize.ts";

const TEXT = "booking(1) token=large.1 tokens=8";

/** A fake endpoint that prints lines on request of a test. */
class PrintingEndpoint {
  readonly #listeners: ((line: string) => void)[] = [];

  follow(recorder: ExecutionRecorder, service: string): void {
    const registerLine = (listener: (line: string) => void): () => void => {
      this.#listeners.push(listener);
      return () => {};
    };
    recorder.follow(
      { id: service, service, process: { registerLine } } as SiteEndpoint,
    );
  }

  run(token: string): void {
    const execution = { requestId: "r", stageId: "s", attemptId: "a", token };
    for (const listener of this.#listeners) {
      listener(JSON.stringify({ execution }));
    }
  }
}

function createResult(
  token: string,
  end: SubmissionEnd,
  changes: Partial<CallResult> = {},
): CallResult {
  const request: PlannedRequest = {
    at: 0,
    isMeasured: true,
    token,
    account: "large",
    availabilityZone: "a",
    pipeline: "booking",
    input: "",
    deadlineMilliseconds: 3_000,
    expectedText: TEXT.replace("large.1", token),
    hasOnceStage: true,
  };
  const rest = { port: 1, milliseconds: 200, submissions: 1, cutAt: [] };
  return { request, end, ...rest, ...changes };
}

function whole(text: string): SubmissionEnd {
  const end = {
    type: "end",
    requestId: "r",
    length: text.length,
    checksum: "",
    cost: [],
    elapsedMilliseconds: 1,
  } as const;
  return { type: "whole", text, end };
}

function failure(outcome: FailureRecord["outcome"]): SubmissionEnd {
  const rest = { code: 1, message: "", retry: "never" } as const;
  const record = { type: "failure", result: "overloaded", outcome } as const;
  return { type: "failure", failure: { ...record, ...rest }, text: "" };
}

function figuresOf(
  results: readonly CallResult[],
  options: {
    readonly ran: readonly string[];
    readonly dead?: number;
    readonly gone?: number;
  },
): Readonly<Record<string, unknown>> {
  const executions = new ExecutionRecorder(new ManualTimer());
  const endpoint = new PrintingEndpoint();
  endpoint.follow(executions, "booking");
  for (const token of options.ran) endpoint.run(token);
  return summarize({
    results,
    measured: results,
    executions,
    runnerTime: new RunnerTimeRecorder(async () => ({})),
    resultsGone: options.gone ?? 0,
    deadDaemonPorts: new Set(options.dead === undefined ? [] : [options.dead]),
    seconds: 1,
    utilization: 0,
    lags: [],
  });
}

test("only complete, correct and timely answers count as attained", () => {
  const figures = figuresOf([
    createResult("large.1", whole(TEXT)),
    createResult("large.1", whole(TEXT), { milliseconds: 3_001 }),
    createResult("large.1", whole(`${TEXT} more`)),
    createResult("large.1", { type: "cut", text: TEXT, wasAccepted: true }),
  ], { ran: ["large.1"] });
  expect(figures["attainment"]).toEqual(0.25);
  expect(figures["wrongText"]).toEqual(1);
  expect(figures["lost"]).toEqual(0);
});

test("violations of guarantees are counted, correct results are not", () => {
  // A booking is made twice, never or for another caller, because a daemon
  // retries without a check, answers without a run, or mixes answers up. Each
  // count joins the callers' results with the executions that endpoints printed.
  const figures = figuresOf([
    createResult("large.1", whole(TEXT)),
    createResult("large.2", whole(TEXT.replace("large.1", "large.2"))),
    createResult("large.3", whole(TEXT)),
    createResult("large.4", failure("not_run")),
    createResult("large.5", failure("not_run")),
    createResult("large.6", failure("outcome_unknown")),
  ], { ran: ["large.1", "large.1", "large.3", "large.4", "large.6"], gone: 2 });
  expect(figures["doubled"]).toEqual(1);
  expect(figures["lost"]).toEqual(3);
  expect(figures["foreign"]).toEqual(1);
  expect(figures["falseNotRun"]).toEqual(1);
  expect(figures["refused"]).toEqual(2);
  expect(figures["unknownThatRan"]).toEqual(1);
});

test("a part of another request's answer is foreign, a cut token is not", () => {
  const figures = figuresOf([
    createResult("large.1", {
      type: "cut",
      text: "booking(1) token=lar",
      wasAccepted: true,
    }),
    createResult("large.1", {
      type: "cut",
      text: "booking(1) token=lar ge",
      wasAccepted: true,
    }),
    createResult("large.1", {
      type: "cut",
      text: "x token=small-0.1 tok",
      wasAccepted: true,
    }),
    createResult("large.11", {
      type: "cut",
      text: "x token=large.1 tok",
      wasAccepted: true,
    }),
  ], { ran: [] });
  expect(figures["foreign"]).toEqual(3);
});

test("answers cut by a killed daemon count apart from those of a planned stop", () => {
  const cut: SubmissionEnd = { type: "cut", text: "", wasAccepted: true };
  const figures = figuresOf([
    createResult("large.1", cut, { cutAt: [81] }),
    createResult("large.2", cut, { cutAt: [82] }),
  ], { ran: [], dead: 82 });
  expect(figures["cutOff"]).toEqual(1);
  expect(figures["cutByDeaths"]).toEqual(1);
});
