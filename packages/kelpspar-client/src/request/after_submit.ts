import type { UnfinishedResult } from "./attempt_result.ts";
import type { RunState } from "./run_state.ts";
import type { Transition } from "./transition.ts";
import { afterAcceptedCut, afterRunFailure } from "./after_run.ts";
import { continueWith, resubmit } from "./transition.ts";

/** The transition after a submission without a whole answer. */
export function afterSubmit(
  state: RunState,
  result: UnfinishedResult,
): Transition {
  if (result.type === "refused") {
    const wait = state.idleSteps > 1 ? "backoff" : "none";
    return continueWith(state, { kind: "submit", where: "other", wait });
  }
  if (result.type === "failed") return afterRunFailure(state, result);
  if (result.accepted) return afterAcceptedCut(state, result);
  const updated = { ...state, currentMayHaveRun: true };
  // The connection broke, but the daemon may be healthy, and it is the most
  // likely to have the result.
  if (state.nonIdempotent) return continueWith(updated, { kind: "look_up" });
  return resubmit(updated, { wait: "none" });
}
