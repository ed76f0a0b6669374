import type { AcceptedRecord, TimerService } from "kelpspar-shared";
import type { ServerResponse } from "node:http";
import type { AnswerLog } from "../requests/answer_log.ts";

const STATUS_OK = 200;
/** A caller that takes nothing for so long is given up on. */
const STALLED_READER_MILLISECONDS = 30_000;

/** Which part of an answer to stream. */
export interface StreamAnswerOptions {
  readonly accepted: AcceptedRecord;
  readonly offset: number;
  readonly timer: TimerService;
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

  const watchStalled = (): () => void => {
    const stopTimer = options.timer.registerTimeout(
      () => response.destroy(),
      STALLED_READER_MILLISECONDS,
    );
    response.once("close", stopTimer);
    return () => {
      stopTimer();
      response.off("close", stopTimer);
    };
  };
  const flush = (): void => {
    if (isWaiting || response.writableEnded) return;
    for (const chunk of log.readFrom(offset)) {
      pending += JSON.stringify(chunk) + "\n";
      offset = chunk.offset + chunk.text.length;
    }
    if (log.final !== undefined) {
      pending += JSON.stringify(log.final) + "\n";
      stop();
      watchStalled();
      response.end(pending);
      return;
    }
    if (pending === "") return;
    const text = pending;
    pending = "";
    if (response.write(text)) return;
    isWaiting = true;
    const stopWatch = watchStalled();
    response.once("drain", () => {
      stopWatch();
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
