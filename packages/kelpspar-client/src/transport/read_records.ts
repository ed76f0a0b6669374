import type { AnswerRecord } from "kelpspar-shared";
import type { OpenExchange } from "./daemon_exchange.ts";
import type { ProgressWatchdog } from "./progress_watchdog.ts";
import { readJsonLines } from "kelpspar-shared";
import { readAnswerRecord } from "../records/read_answer_record.ts";
import { ExchangeFailure } from "./exchange_failure.ts";

/**
 * Reads the records of an answer, or the single failure record of a refusal.
 * Throws ExchangeFailure for anything else; it is then unknown whether the
 * exchange arrived.
 */
export async function* readRecords(
  exchange: OpenExchange,
  watchdog: ProgressWatchdog,
): AsyncGenerator<AnswerRecord, void, void> {
  const lines = readJsonLines(exchange.body)[Symbol.asyncIterator]();
  try {
    for (;;) {
      const line = await watchdog.waitFor(lines.next());
      if (line.done) return;
      const record = readAnswerRecord(line.value);
      if (record === undefined) throw new Error("A line is not a record");
      yield record;
    }
  } catch (cause) {
    const reason = cause instanceof Error ? cause.message : String(cause);
    throw new ExchangeFailure(reason, {
      nothingArrived: false,
      cause,
    });
  } finally {
    exchange.release();
  }
}

/**
 * Reads an answer's stream to its end after the last record, so that a pooled
 * connection can be reused. Ends the watchdog.
 */
export async function drainRecords(
  records: AsyncGenerator<AnswerRecord, void, void>,
  watchdog: ProgressWatchdog,
): Promise<void> {
  try {
    while (!(await records.next()).done);
  } catch {
    // The exchange already has its result; only the connection is lost.
  } finally {
    watchdog.end();
  }
}
