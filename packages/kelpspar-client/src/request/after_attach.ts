import type { UnfinishedResult } from "./attempt_result.ts";
import type { RunState } from "./run_state.ts";
import type { Transition } from "./transition.ts";
import {
  afterAcceptedCut,
  afterLostDaemon,
  afterRunFailure,
} from "./after_run.ts";

/** After attaching to a running request brought no whole answer. */
export function afterAttach(
  state: RunState,
  result: UnfinishedResult,
): Transition {
  // Only a record within the run's own stream speaks of the run. A refusal to
  // attach says that attaching was not run, never that the request was not.
  if (result.type === "refused" || !result.accepted) {
    return afterLostDaemon(state);
  }
  if (result.type === "failed") return afterRunFailure(state, result);
  return afterAcceptedCut(state, result);
}
