import type { ResultName } from "kelpspar-shared";
import type { FailedResult, UnfinishedResult } from "./attempt_result.ts";
import type { RunState } from "./run_state.ts";
import type { Transition } from "./transition.ts";
import { afterAcceptedCut, afterRunFailure, waitOf } from "./after_run.ts";
import { giveUp, go, submitAgain } from "./transition.ts";

/** Refusals of a look-up that a later look-up would get again. */
const LASTING_REFUSALS: ReadonlySet<ResultName> = new Set<ResultName>([
  "result_expired",
  "unknown_caller_key",
  "not_allowed",
  "malformed_request",
]);

/** After a look-up that brought no whole answer. */
export function afterLookUp(
  state: RunState,
  result: UnfinishedResult,
): Transition {
  if (result.type === "refused" || result.type === "cut" && !result.accepted) {
    return go(state, { kind: "look_up", where: "other", wait: "backoff" });
  }
  if (result.type === "cut") return afterAcceptedCut(state, result);
  if (result.accepted) return afterRunFailure(state, result);
  return afterRefusedLookUp(state, result);
}

/**
 * What goes wrong: `request_not_found` reads like proof that the request was
 * not run, while its submission may still be on its way, or its claim out of
 * this daemon's sight. So it ends nothing before the deadline does.
 */
function afterRefusedLookUp(
  state: RunState,
  result: FailedResult,
): Transition {
  const { record } = result;
  if (LASTING_REFUSALS.has(record.result)) {
    return giveUp(state, { isFinal: record.result === "result_expired" });
  }
  if (state.nonIdempotent || record.result === "in_progress") {
    return go(state, { kind: "look_up", where: "any", wait: waitOf(result) });
  }
  return submitAgain(state, { wait: "none" });
}
