import type { StoredResult } from "kelpspar-decisions/claims";
import { KelpsparError, toFailureRecord } from "kelpspar-shared";
import { AnswerLog } from "./answer_log.ts";

/** Completes an answer with the stored result of an earlier run of its key. */
export function appendStoredResult(
  answer: { readonly log: AnswerLog; readonly requestId: string },
  result: StoredResult,
): void {
  const { log, requestId } = answer;
  if (log.final !== undefined) return;
  if ("tooLarge" in result) {
    const error = new KelpsparError(
      "result_expired",
      `The request completed, but its result of ${result.length} characters is too long to keep`,
    );
    log.finish(toFailureRecord(error, { requestId }));
    return;
  }
  log.append(result.text);
  log.finish({
    type: "end",
    requestId,
    length: result.length,
    checksum: result.checksum,
    cost: result.cost,
    elapsedMilliseconds: 0,
  });
}

/** Creates the answer of a look-up that found a stored result. */
export function createStoredAnswer(
  result: StoredResult,
): { readonly log: AnswerLog; readonly requestId: string } {
  const answer = { log: new AnswerLog(), requestId: "stored" };
  appendStoredResult(answer, result);
  return answer;
}
