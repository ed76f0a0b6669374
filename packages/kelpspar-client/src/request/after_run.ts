import type { CutResult, FailedResult } from "./attempt_result.ts";
import type { RunState } from "./run_state.ts";
import type { Transition } from "./transition.ts";
import { giveUp, go, submitAgain } from "./transition.ts";

const MOST_CORRUPTIONS = 1;

/** After a failure that a daemon states of the request itself. */
export function afterRunFailure(
  state: RunState,
  result: FailedResult,
): Transition {
  const { record } = result;
  const isNotRun = record.outcome === "not_run" ||
    isMisdirected(state, result);
  const known = { ...state, currentMayHaveRun: !isNotRun };
  if (record.retry === "never") return giveUp(known, { isFinal: true });
  if (isNotRun) return afterNotRun(known, result);
  if (state.nonIdempotent) {
    // The daemon that ran it told its end; looking it up tells no more.
    if (result.accepted && record.retry !== "look_up") {
      return giveUp(known, { isFinal: true });
    }
    return go(known, { kind: "look_up", wait: waitOf(result) });
  }
  if (record.retry === "look_up" && state.hasKey) {
    return go(known, { kind: "look_up", wait: waitOf(result) });
  }
  return submitAgain(known, {
    where: record.retry === "later" ? "any" : "other",
    wait: waitOf(result),
  });
}

/**
 * What goes wrong: a daemon is replaced under its address, and its successor
 * cannot know what the key's own daemon did, so it says `outcome_unknown`. But
 * a key made for this submission alone went nowhere else, so nothing ran.
 */
function isMisdirected(state: RunState, result: FailedResult): boolean {
  return state.mintsKeys && !result.accepted &&
    result.record.result === "wrong_daemon";
}

function afterNotRun(state: RunState, result: FailedResult): Transition {
  const { retry, elsewhere = [] } = result.record;
  if (retry === "elsewhere") {
    const wait = state.idleSteps > 1 ? "backoff" : "none";
    return go(state, { kind: "submit", where: "other", elsewhere, wait });
  }
  return submitAgain(state, { where: "any", wait: waitOf(result) });
}

/** After an answer that the daemon had begun broke off. */
export function afterAcceptedCut(
  state: RunState,
  result: CutResult,
): Transition {
  const known = {
    ...state,
    currentMayHaveRun: true,
    corruptions: state.corruptions + (result.corrupt ? 1 : 0),
  };
  if (known.corruptions > MOST_CORRUPTIONS) {
    return giveUp(known, { isFinal: false });
  }
  const wait = known.idleSteps > 1 ? "backoff" : "none";
  return go(known, { kind: "attach", wait });
}

/**
 * After the daemon that had the request was lost. A request that may run once
 * is never submitted again: it is only looked up, wherever its result may be.
 */
export function afterLostDaemon(state: RunState): Transition {
  if (!state.nonIdempotent) return submitAgain(state, { wait: "none" });
  const wait = state.idleSteps > 1 ? "backoff" : "none";
  return go(state, { kind: "look_up", where: "other", wait });
}

/** The wait that a daemon asks for, or one that grows. */
export function waitOf(result: FailedResult): "backoff" | number {
  return result.record.retryAfterMilliseconds ?? "backoff";
}
