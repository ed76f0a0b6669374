import type { FailureRecord, ResultName } from "kelpspar-shared";
import type { UnfinishedResult } from "../../request/attempt_result.ts";
import type { StepKind } from "../../request/step.ts";
import { test } from "node:test";
import { expect } from "earl";
import fc from "fast-check";
import { KelpsparError, RESULT_CODES, toFailureRecord } from "kelpspar-shared";
import { advanceRun } from "../../request/advance_run.ts";
import { toRunError } from "../../request/run_error.ts";
import { createRunState } from "../../request/run_state.ts";

const resultNames = Object.keys(RESULT_CODES) as ResultName[];

const record: fc.Arbitrary<FailureRecord> = fc.constantFrom(...resultNames).map(
  (name) => toFailureRecord(new KelpsparError(name, name)),
);
const result: fc.Arbitrary<UnfinishedResult> = fc.oneof(
  fc.record({ type: fc.constant("refused" as const), message: fc.string() }),
  fc.record({
    type: fc.constant("failed" as const),
    record,
    accepted: fc.boolean(),
  }),
  fc.record({
    type: fc.constant("cut" as const),
    message: fc.string(),
    accepted: fc.boolean(),
    progressed: fc.boolean(),
    corrupt: fc.boolean(),
  }),
);

/** True if the result proves that the last submission was not run. */
function provesNotRun(
  step: { readonly kind: StepKind; readonly mintsKeys: boolean },
  result: UnfinishedResult,
): boolean {
  const { kind, mintsKeys } = step;
  if (result.type === "refused") return kind === "submit";
  if (result.type !== "failed") return false;
  const isMinted = result.record.result === "wrong_daemon" && !result.accepted;
  if (kind === "submit" && mintsKeys && isMinted) return true;
  const isAboutRun = kind === "submit" || result.accepted;
  return isAboutRun && result.record.outcome === "not_run";
}

test("a non-idempotent request is never resubmitted while its outcome is unknown", () => {
  // Guards against running a non-idempotent request twice. An answer is lost or
  // refused in any way, and the library continues with any order of steps. The
  // failure: a refused attach or look-up is treated as a request that did not
  // run.
  fc.assert(
    fc.property(
      fc.boolean(),
      fc.boolean(),
      fc.array(result, { maxLength: 20 }),
      (nonIdempotent, hasOwnKey, results) => {
        const mintsKeys = nonIdempotent && !hasOwnKey;
        let state = createRunState({
          nonIdempotent,
          hasKey: nonIdempotent,
          mintsKeys,
          currentMayHaveRun: false,
        });
        let kind: StepKind = "submit";
        let unknown = 0;
        let isOpen = true;
        for (const result of results) {
          const isProved = provesNotRun({ kind, mintsKeys }, result);
          if (isProved) isOpen = false;
          else if (result.type !== "refused") isOpen = true;
          const { state: after, next } = advanceRun(state, { kind, result });
          state = after;
          const mayRun = unknown > 0 || isOpen;
          const error = toRunError({
            state,
            result,
            isFinal: next.type === "give_up" && next.isFinal,
            key: "k",
          });
          if (mayRun) expect(error.outcome).toEqual("outcome_unknown");
          if (next.type === "give_up") return;
          if (next.kind === "submit") {
            if (nonIdempotent) expect(mayRun).toEqual(false);
            if (isOpen) unknown++;
            isOpen = false;
          }
          kind = next.kind;
        }
      },
    ),
    { seed: 7, numRuns: 5_000 },
  );
});
