import type { AcceptedRecord, TimerService } from "kelpspar-shared";
import type { ServerResponse } from "node:http";
import type { AnswerLog } from "../requests/answer_log.ts";

const STATUS_OK = 200;
/** How long a caller may stop reading before its connection is destroyed. */
const STALLED_CALLER_TIMEOUT_MILLISECONDS = 30_000;

/** The answer's first record and the offset to stream from. */
export interface StreamAnswerOptions {
  readonly accepted: AcceptedRecord;
  readonly offset: number;
  readonly timer: TimerService;
}

/**
 * Streams an answer as newline-delimited JSON until its final record. Pending
 * chunks are written in one write, and backpressure from a slow caller is
 * respected, so that its answer does not accumulate in the socket's buffer.
 * Returns the teardown, which also runs when the stream ends.
 */
export function streamAnswer(
  log: AnswerLog,
  response: ServerResponse,
  options: StreamAnswerOptions,
): () => void {
  let offset = options.offset;
  let isBlocked = false;
  response.writeHead(STATUS_OK, { "content-type": "application/x-ndjson" });
  let pending = JSON.stringify(options.accepted) + "\n";

  const startStallTimeout = (): () => void => {
    const stopTimer = options.timer.registerTimeout(
      () => response.destroy(),
      STALLED_CALLER_TIMEOUT_MILLISECONDS,
    );
    response.once("close", stopTimer);
    return () => {
      stopTimer();
      response.off("close", stopTimer);
    };
  };
  const flush = (): void => {
    if (isBlocked || response.writableEnded) return;
    for (const chunk of log.readFrom(offset)) {
      pending += JSON.stringify(chunk) + "\n";
      offset = chunk.offset + chunk.text.length;
    }
    if (log.final !== undefined) {
      pending += JSON.stringify(log.final) + "\n";
      stop();
      startStallTimeout();
      response.end(pending);
      return;
    }
    if (pending === "") return;
    const text = pending;
    pending = "";
    if (response.write(text)) return;
    isBlocked = true;
    const stopStallTimeout = startStallTimeout();
    response.once("drain", () => {
      stopStallTimeout();
      isBlocked = false;
      flush();
    });
  };
  const removeListener = log.registerListener(flush);
  const stop = (): void => removeListener();
  response.on("close", stop);
  flush();
  return stop;
}
