import type { UnfinishedResult } from "./attempt_result.ts";
import type { RunState } from "./run_state.ts";
import type { Transition } from "./transition.ts";
import { afterAcceptedCut, afterRunFailure } from "./after_run.ts";
import { go, submitAgain } from "./transition.ts";

/** After a submission that brought no whole answer. */
export function afterSubmit(
  state: RunState,
  result: UnfinishedResult,
): Transition {
  if (result.type === "refused") {
    const wait = state.idleSteps > 1 ? "backoff" : "none";
    return go(state, { kind: "submit", where: "other", wait });
  }
  if (result.type === "failed") return afterRunFailure(state, result);
  if (result.accepted) return afterAcceptedCut(state, result);
  const known = { ...state, currentMayHaveRun: true };
  // The connection broke, but its daemon may be well, and knows best.
  if (state.nonIdempotent) return go(known, { kind: "look_up" });
  return submitAgain(known, { wait: "none" });
}
