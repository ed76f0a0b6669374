import type { RetryContext } from "../../retries/mod.ts";
import { test } from "node:test";
import { expect } from "earl";
import fc from "fast-check";
import { RESULT_CODES } from "kelpspar-shared";
import { decideRetry } from "../../retries/mod.ts";

const DEFAULT_CONTEXT: RetryContext = {
  result: "endpoint_failed",
  effect: "none",
  earlierAttemptMayHaveRun: false,
  receivedLength: 0,
  deliveredLength: 0,
  remainingMilliseconds: 1_000,
  minimumMilliseconds: 100,
  attempts: 1,
  resumes: 0,
  budgetAllows: true,
  otherEndpoints: 2,
  canResume: false,
  canContinue: false,
  outcomeBefore: "not_run",
};

const names = Object.keys(RESULT_CODES) as (keyof typeof RESULT_CODES)[];
const endpointNames = names.filter((name) => name.startsWith("endpoint_"));
const smallNumber = fc.nat({ max: 3 });
const contexts: fc.Arbitrary<RetryContext> = fc.record({
  result: fc.oneof(
    fc.constantFrom(...endpointNames),
    fc.constantFrom(...names),
  ),
  record: fc.constantFrom({}, { started: true }, { started: false }),
  effect: fc.constantFrom("none", "once"),
  earlierAttemptMayHaveRun: fc.boolean(),
  receivedLength: smallNumber,
  deliveredLength: smallNumber,
  remainingMilliseconds: fc.integer({ min: -20, max: 200 }),
  minimumMilliseconds: fc.constant(100),
  attempts: smallNumber,
  resumes: smallNumber,
  budgetAllows: fc.boolean(),
  otherEndpoints: smallNumber,
  canResume: fc.boolean(),
  canContinue: fc.boolean(),
  outcomeBefore: fc.constantFrom("not_run", "outcome_unknown"),
}).map(({ record, ...rest }) => ({ ...rest, ...record }));

test("every decision respects the guarantees, whatever the context", () => {
  fc.assert(
    fc.property(contexts, (context) => {
      const isReportedNotRun = context.started === undefined
        ? context.result === "endpoint_refused"
        : !context.started;
      const isProven = isReportedNotRun && !context.earlierAttemptMayHaveRun &&
        context.resumes === 0 && context.receivedLength === 0;
      const mayRunAgain = context.effect === "none" || isProven;
      const maySend = mayRunAgain && context.budgetAllows &&
        context.attempts < 3 &&
        context.otherEndpoints > 0 && context.remainingMilliseconds >= 100;
      const isWhole = context.deliveredLength === 0;
      const decision = decideRetry(context);
      if (decision.action === "retry_elsewhere") {
        expect(maySend && isWhole).toEqual(true);
      } else if (decision.action === "continue_elsewhere") {
        expect(maySend && context.canContinue && decision.offset > 0).toEqual(
          true,
        );
      } else if (decision.action === "resume") {
        expect(context.canResume && context.started === undefined).toEqual(
          true,
        );
        expect(context.resumes < 2 && context.remainingMilliseconds > 0)
          .toEqual(true);
      } else {
        // Fails only if no action helps; `not_run` only if that is proven.
        const mayHelp = endpointNames.includes(context.result) && maySend;
        expect(mayHelp && isWhole).toEqual(false);
        expect(decision.outcome === "not_run").toEqual(
          mayRunAgain && isWhole && context.outcomeBefore === "not_run",
        );
      }
    }),
    { seed: 1, numRuns: 5_000 },
  );
});

test("common failures get the expected decision", () => {
  const once = { effect: "once" } as const;
  const engine = { canResume: true, canContinue: true, receivedLength: 8 };
  const cases: [Partial<RetryContext>, string][] = [
    [{}, "retry_elsewhere"],
    [engine, "resume"],
    [{ ...engine, resumes: 2 }, "continue_elsewhere"],
    [{ ...once, result: "endpoint_refused" }, "retry_elsewhere"],
    [{ ...once, result: "endpoint_overloaded" }, "outcome_unknown"],
    [{ result: "endpoint_refused", otherEndpoints: 0 }, "no_endpoint"],
    [{ budgetAllows: false }, "stage_failed"],
    [{ remainingMilliseconds: 99 }, "deadline_exceeded"],
    [{ receivedLength: 8, deliveredLength: 8 }, "stream_cut"],
    [{ result: "cancelled" }, "cancelled"],
  ];
  for (const [situation, expected] of cases) {
    const decision = decideRetry({ ...DEFAULT_CONTEXT, ...situation });
    const { action } = decision;
    expect<string>(action === "fail" ? decision.result : action).toEqual(
      expected,
    );
  }
});

test("a resumed call that did not start is no proof for the first one", () => {
  // Guards against running a `once` stage twice, such as two bookings for one
  // request: the endpoint runs the call and its connection breaks; the call is
  // resumed, and the endpoint no longer knows the attempt and answers
  // `started: false`, which doesn't prove that the first call did not run.
  const resumed = { effect: "once", started: false, resumes: 1 } as const;
  const outcome = "outcome_unknown";
  const decision = decideRetry({ ...DEFAULT_CONTEXT, ...resumed });
  expect(decision).toEqual({ action: "fail", result: outcome, outcome });
});
