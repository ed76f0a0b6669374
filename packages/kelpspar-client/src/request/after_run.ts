import type { CutResult, FailedResult } from "./attempt_result.ts";
import type { RunState } from "./run_state.ts";
import type { Transition } from "./transition.ts";
import { continueWith, giveUp, resubmit } from "./transition.ts";

const MAX_CORRUPTIONS = 1;

/** The transition after a failure record about the request itself. */
export function afterRunFailure(
  state: RunState,
  result: FailedResult,
): Transition {
  const { record } = result;
  const isNotRun = record.outcome === "not_run" ||
    isMisdirected(state, result);
  const updated = { ...state, currentMayHaveRun: !isNotRun };
  if (record.retry === "never") return giveUp(updated, { isFinal: true });
  if (isNotRun) return afterNotRun(updated, result);
  if (state.nonIdempotent) {
    // The daemon that ran the request reported its end; a look-up would return
    // the same result.
    if (result.accepted && record.retry !== "look_up") {
      return giveUp(updated, { isFinal: true });
    }
    return continueWith(updated, {
      kind: "look_up",
      wait: retryWaitOf(result),
    });
  }
  if (record.retry === "look_up" && state.hasKey) {
    return continueWith(updated, {
      kind: "look_up",
      wait: retryWaitOf(result),
    });
  }
  return resubmit(updated, {
    where: record.retry === "later" ? "any" : "other",
    wait: retryWaitOf(result),
  });
}

/**
 * A daemon may be replaced under the same address. Its successor does not know
 * what the daemon that the key is bound to did, so it answers
 * `outcome_unknown`. But a key that was generated for this submission was sent
 * to no other daemon, so the request did not run.
 */
function isMisdirected(state: RunState, result: FailedResult): boolean {
  return state.mintsKeys && !result.accepted &&
    result.record.result === "wrong_daemon";
}

function afterNotRun(state: RunState, result: FailedResult): Transition {
  const { retry, elsewhere = [] } = result.record;
  if (retry === "elsewhere") {
    const wait = state.idleSteps > 1 ? "backoff" : "none";
    return continueWith(state, {
      kind: "submit",
      where: "other",
      elsewhere,
      wait,
    });
  }
  return resubmit(state, { where: "any", wait: retryWaitOf(result) });
}

/** The transition after an answer was cut off once the daemon had begun it. */
export function afterAcceptedCut(
  state: RunState,
  result: CutResult,
): Transition {
  const updated = {
    ...state,
    currentMayHaveRun: true,
    corruptions: state.corruptions + (result.corrupt ? 1 : 0),
  };
  if (updated.corruptions > MAX_CORRUPTIONS) {
    return giveUp(updated, { isFinal: false });
  }
  const wait = updated.idleSteps > 1 ? "backoff" : "none";
  return continueWith(updated, { kind: "attach", wait });
}

/**
 * The transition after the daemon that had the request was lost. A
 * non-idempotent request is never resubmitted, only looked up, at any daemon
 * that may have its result.
 */
export function afterLostDaemon(state: RunState): Transition {
  if (!state.nonIdempotent) return resubmit(state, { wait: "none" });
  const wait = state.idleSteps > 1 ? "backoff" : "none";
  return continueWith(state, { kind: "look_up", where: "other", wait });
}

/** The wait that the daemon requested, otherwise exponential backoff. */
export function retryWaitOf(result: FailedResult): "backoff" | number {
  return result.record.retryAfterMilliseconds ?? "backoff";
}
