import type { CallResult } from "../caller/call_result.ts";
import type { ExecutionRecorder } from "./execution_recorder.ts";

const TOKEN_PATTERN = /(?<!\S)token=([^\s]+)/g;

/** True for a complete and correct answer within the deadline. */
export function isAttained(result: CallResult): boolean {
  return isAnswered(result) &&
    result.milliseconds <= result.request.deadlineMilliseconds;
}

/** True for a complete answer with exactly the expected text. */
export function isAnswered(result: CallResult): boolean {
  const { end, request } = result;
  return end.type === "whole" && end.text === request.expectedText;
}

/** True if the answer, even if cut, contains the token of another request. */
export function isForeign(result: CallResult): boolean {
  const text = "text" in result.end ? result.end.text : "";
  const own = result.request.token;
  return [...text.matchAll(TOKEN_PATTERN)].some((match) => {
    const [found, token = ""] = match;
    if (token === own) return false;
    // A cut answer may end inside the request's own token.
    const isAtEnd = match.index + found.length === text.length;
    return !isAtEnd || !own.startsWith(token);
  });
}

/** True if a once-stage ran more than once. */
export function isDoubled(
  result: CallResult,
  recorder: ExecutionRecorder,
): boolean {
  return recorder.onceRuns(result.request.token) > 1;
}

/** True for a complete answer to a once-request whose once-stage never ran. */
export function isLost(
  result: CallResult,
  recorder: ExecutionRecorder,
): boolean {
  const { end, request } = result;
  return request.hasOnceStage && end.type === "whole" &&
    recorder.onceRuns(request.token) === 0;
}

/**
 * True if the final outcome is `not_run` although the once-stage ran, or any
 * stage of a request without a once-stage.
 */
export function isFalseNotRun(
  result: CallResult,
  recorder: ExecutionRecorder,
): boolean {
  const { end, request } = result;
  if (end.type !== "failure" || end.failure.outcome !== "not_run") return false;
  const runs = request.hasOnceStage
    ? recorder.onceRuns(request.token)
    : recorder.runs(request.token);
  return runs > 0;
}
