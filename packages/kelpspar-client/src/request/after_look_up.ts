import type { ResultName } from "kelpspar-shared";
import type { FailedResult, UnfinishedResult } from "./attempt_result.ts";
import type { RunState } from "./run_state.ts";
import type { Transition } from "./transition.ts";
import { afterAcceptedCut, afterRunFailure, retryWaitOf } from "./after_run.ts";
import { continueWith, giveUp, resubmit } from "./transition.ts";

/** Refusals that a later look-up would receive again. */
const PERMANENT_REFUSALS: ReadonlySet<ResultName> = new Set<ResultName>([
  "result_expired",
  "unknown_caller_key",
  "not_allowed",
  "malformed_request",
]);

/** The transition after a look-up without a whole answer. */
export function afterLookUp(
  state: RunState,
  result: UnfinishedResult,
): Transition {
  if (result.type === "refused" || result.type === "cut" && !result.accepted) {
    return continueWith(state, {
      kind: "look_up",
      where: "other",
      wait: "backoff",
    });
  }
  if (result.type === "cut") return afterAcceptedCut(state, result);
  if (result.accepted) return afterRunFailure(state, result);
  return afterRefusedLookUp(state, result);
}

/**
 * `request_not_found` does not prove that the request was not run: its
 * submission may still be in transit, or its claim may not be visible to this
 * daemon. So look-ups continue until the deadline.
 */
function afterRefusedLookUp(
  state: RunState,
  result: FailedResult,
): Transition {
  const { record } = result;
  if (PERMANENT_REFUSALS.has(record.result)) {
    return giveUp(state, { isFinal: record.result === "result_expired" });
  }
  if (state.nonIdempotent || record.result === "in_progress") {
    return continueWith(state, {
      kind: "look_up",
      where: "any",
      wait: retryWaitOf(result),
    });
  }
  return resubmit(state, { wait: "none" });
}
