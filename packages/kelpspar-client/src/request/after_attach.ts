import type { UnfinishedResult } from "./attempt_result.ts";
import type { RunState } from "./run_state.ts";
import type { Transition } from "./transition.ts";
import {
  afterAcceptedCut,
  afterLostDaemon,
  afterRunFailure,
} from "./after_run.ts";

/** The transition after an attach without a whole answer. */
export function afterAttach(
  state: RunState,
  result: UnfinishedResult,
): Transition {
  // Only a record within the run's own stream applies to the run. If a daemon
  // refuses the attach, `not_run` refers to the attach, not to the request.
  if (result.type === "refused" || !result.accepted) {
    return afterLostDaemon(state);
  }
  if (result.type === "failed") return afterRunFailure(state, result);
  return afterAcceptedCut(state, result);
}
