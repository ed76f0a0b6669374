import type { CallResult } from "../caller/call_result.ts";
import type { ExecutionBook } from "./execution_recorder.ts";

const TOKEN_PATTERN = /(?<!\S)token=([^\s]+)/g;

/** True for a whole answer that is its own, within the deadline. */
export function isAttained(result: CallResult): boolean {
  return isAnswered(result) &&
    result.milliseconds <= result.request.deadlineMilliseconds;
}

/** True for a whole answer that is exactly its own. */
export function isAnswered(result: CallResult): boolean {
  const { end, request } = result;
  return end.type === "whole" && end.text === request.expectedText;
}

/** True when the answer, or a part of it, carries another one's token. */
export function isForeign(result: CallResult): boolean {
  const text = "text" in result.end ? result.end.text : "";
  const own = result.request.token;
  return [...text.matchAll(TOKEN_PATTERN)].some((match) => {
    const [found, token = ""] = match;
    if (token === own) return false;
    // An answer that was cut may end inside its own token.
    const isAtEnd = match.index + found.length === text.length;
    return !isAtEnd || !own.startsWith(token);
  });
}

/** True when a once-stage ran more than once. */
export function isDoubled(result: CallResult, book: ExecutionBook): boolean {
  return book.onceRuns(result.request.token) > 1;
}

/** True for a whole answer to a once-request that never ran. */
export function isLost(result: CallResult, book: ExecutionBook): boolean {
  const { end, request } = result;
  return request.hasOnceStage && end.type === "whole" &&
    book.onceRuns(request.token) === 0;
}

/**
 * True when the last word was `not_run` and it did run: its once-stage, or any
 * stage of a request that has none.
 */
export function isFalseNotRun(
  result: CallResult,
  book: ExecutionBook,
): boolean {
  const { end, request } = result;
  if (end.type !== "failure" || end.failure.outcome !== "not_run") return false;
  const runs = request.hasOnceStage
    ? book.onceRuns(request.token)
    : book.runs(request.token);
  return runs > 0;
}
