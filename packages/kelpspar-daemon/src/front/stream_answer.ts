import type { AcceptedRecord } from "kelpspar-shared";
import type { ServerResponse } from "node:http";
import type { AnswerLog } from "../requests/answer_log.ts";

const STATUS_OK = 200;

/** Which part of an answer to stream. */
export interface StreamAnswerOptions {
  readonly accepted: AcceptedRecord;
  readonly offset: number;
}

/**
 * Streams an answer as newline-delimited JSON until its final record. All
 * chunks that wait are written at once, and a caller that reads slowly is
 * waited for, so that its answer is not piled up in the socket's buffer.
 * Returns the teardown; it is run by itself when the stream ends.
 */
export function streamAnswer(
  log: AnswerLog,
  response: ServerResponse,
  options: StreamAnswerOptions,
): () => void {
  let offset = options.offset;
  let isWaiting = false;
  response.writeHead(STATUS_OK, { "content-type": "application/x-ndjson" });
  let pending = JSON.stringify(options.accepted) + "\n";

  const flush = (): void => {
    if (isWaiting || response.writableEnded) return;
    for (const chunk of log.readFrom(offset)) {
      pending += JSON.stringify(chunk) + "\n";
      offset = chunk.offset + chunk.text.length;
    }
    if (log.final !== undefined) {
      pending += JSON.stringify(log.final) + "\n";
      stop();
      response.end(pending);
      return;
    }
    if (pending === "") return;
    const text = pending;
    pending = "";
    if (response.write(text)) return;
    isWaiting = true;
    response.once("drain", () => {
      isWaiting = false;
      flush();
    });
  };
  const removeListener = log.registerListener(flush);
  const stop = (): void => removeListener();
  response.on("close", stop);
  flush();
  return stop;
}
