import type { AnswerRecord } from "kelpspar-shared";
import type { OpenExchange } from "./daemon_exchange.ts";
import type { ProgressWatch } from "./progress_watchdog.ts";
import { readJsonLines } from "kelpspar-shared";
import { readAnswerRecord } from "../records/read_answer_record.ts";
import { ExchangeFailure } from "./exchange_failure.ts";

/**
 * Reads the records of an answer, or the one failure of a refusal. Throws
 * ExchangeFailure, with nothing proved, for what is neither.
 */
export async function* readRecords(
  exchange: OpenExchange,
  watch: ProgressWatch,
): AsyncGenerator<AnswerRecord, void, void> {
  const lines = readJsonLines(exchange.body)[Symbol.asyncIterator]();
  try {
    for (;;) {
      const line = await watch.step(lines.next());
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
 * Reads an answer to the end of its stream after its last record, so that a
 * pooled connection can be used again; ends the watch.
 */
export async function drainRecords(
  records: AsyncGenerator<AnswerRecord, void, void>,
  watch: ProgressWatch,
): Promise<void> {
  try {
    while (!(await records.next()).done);
  } catch {
    // The answer is already whole; only the connection is lost.
  } finally {
    watch.end();
  }
}
