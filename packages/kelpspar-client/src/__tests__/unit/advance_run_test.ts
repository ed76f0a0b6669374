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

const names = Object.keys(RESULT_CODES) as ResultName[];

const record: fc.Arbitrary<FailureRecord> = fc.constantFrom(...names).map(
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

/** Proof that the last submission was not run. */
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

test("a request that may run once is never submitted over an unknown", () => {
  // Symptom: two spreaders go to one field.
  // Sequence: a booking's answer is lost, or its daemon says so in any of the
  // ways it can; the caller's library goes on in any order of steps.
  // Cause: a refusal to attach or to look up was taken for a refusal to run.
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
