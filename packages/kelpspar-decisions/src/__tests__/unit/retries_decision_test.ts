import type { RetrySituation } from "../../retries/mod.ts";
import { test } from "node:test";
import { expect } from "earl";
import fc from "fast-check";
import { RESULT_CODES } from "kelpspar-shared";
import { decideRetry } from "../../retries/mod.ts";

const USUAL: RetrySituation = {
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
const few = fc.nat({ max: 3 });
const situations: fc.Arbitrary<RetrySituation> = fc.record({
  result: fc.oneof(
    fc.constantFrom(...endpointNames),
    fc.constantFrom(...names),
  ),
  record: fc.constantFrom({}, { started: true }, { started: false }),
  effect: fc.constantFrom("none", "once"),
  earlierAttemptMayHaveRun: fc.boolean(),
  receivedLength: few,
  deliveredLength: few,
  remainingMilliseconds: fc.integer({ min: -20, max: 200 }),
  minimumMilliseconds: fc.constant(100),
  attempts: few,
  resumes: few,
  budgetAllows: fc.boolean(),
  otherEndpoints: few,
  canResume: fc.boolean(),
  canContinue: fc.boolean(),
  outcomeBefore: fc.constantFrom("not_run", "outcome_unknown"),
}).map(({ record, ...rest }) => ({ ...rest, ...record }));

test("no decision breaks a promise, whatever the situation", () => {
  fc.assert(
    fc.property(situations, (one) => {
      const vouched = one.started === undefined
        ? one.result === "endpoint_refused"
        : !one.started;
      const isProved = vouched && !one.earlierAttemptMayHaveRun &&
        one.resumes === 0 && one.receivedLength === 0;
      const mayRunAgain = one.effect === "none" || isProved;
      const maySend = mayRunAgain && one.budgetAllows && one.attempts < 3 &&
        one.otherEndpoints > 0 && one.remainingMilliseconds >= 100;
      const isWhole = one.deliveredLength === 0;
      const decision = decideRetry(one);
      if (decision.action === "retry_elsewhere") {
        expect(maySend && isWhole).toEqual(true);
      } else if (decision.action === "continue_elsewhere") {
        expect(maySend && one.canContinue && decision.offset > 0).toEqual(true);
      } else if (decision.action === "resume") {
        expect(one.canResume && one.started === undefined).toEqual(true);
        expect(one.resumes < 2 && one.remainingMilliseconds > 0).toEqual(true);
      } else {
        // Given up only when nothing helps, and `not_run` only when it is so.
        const mayHelp = endpointNames.includes(one.result) && maySend;
        expect(mayHelp && isWhole).toEqual(false);
        expect(decision.outcome === "not_run").toEqual(
          mayRunAgain && isWhole && one.outcomeBefore === "not_run",
        );
      }
    }),
    { seed: 1, numRuns: 5_000 },
  );
});

test("the failures that come have the answers that help", () => {
  const once = { effect: "once" } as const;
  const engine = { canResume: true, canContinue: true, receivedLength: 8 };
  const cases: [Partial<RetrySituation>, string][] = [
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
    const decision = decideRetry({ ...USUAL, ...situation });
    const { action } = decision;
    expect<string>(action === "fail" ? decision.result : action).toEqual(
      expected,
    );
  }
});

test("a resumed call that did not start proves nothing of the first", () => {
  // Symptom: two bookings for one request.
  // Sequence: the endpoint runs the call and its connection breaks; the call
  // is resumed; the endpoint knows the attempt no more: `started: false`.
  // Cause: the record is taken as proof that the first call did not run.
  const resumed = { effect: "once", started: false, resumes: 1 } as const;
  const outcome = "outcome_unknown";
  const decision = decideRetry({ ...USUAL, ...resumed });
  expect(decision).toEqual({ action: "fail", result: outcome, outcome });
});
