import type { EndRecord, FailureRecord } from "kelpspar-shared";
import type { Attempt } from "./attempt.ts";
import { extendChecksum, formatChecksum } from "kelpspar-shared";

/**
 * Reads an attempt's answer as a caller does: puts the text together by
 * offset and notes what a caller would find wrong with it. Returns what stops
 * the reading.
 */
export function followAnswer(
  attempt: Attempt,
  onFinal: (record: EndRecord | FailureRecord) => void,
): () => void {
  const log = attempt.context?.log;
  if (log === undefined) return () => {};
  let isFinished = false;
  const read = (): void => {
    if (isFinished) {
      attempt.faults.push("a record came after the final one");
      return;
    }
    for (const chunk of log.readFrom(attempt.text.length)) {
      if (chunk.offset !== attempt.text.length) {
        attempt.faults.push(`a chunk at ${chunk.offset} leaves a gap`);
      }
      attempt.text += chunk.text;
    }
    if (log.final === undefined) return;
    isFinished = true;
    checkEnd(attempt, log.final);
    onFinal(log.final);
  };
  const unregister = log.registerListener(read);
  read();
  return unregister;
}

function checkEnd(attempt: Attempt, record: EndRecord | FailureRecord): void {
  if (record.type === "failure") return;
  if (record.length !== attempt.text.length) {
    attempt.faults.push(
      `its end record says ${record.length} characters of ${attempt.text.length}`,
    );
  }
  if (formatChecksum(extendChecksum(0, attempt.text)) !== record.checksum) {
    attempt.faults.push("its checksum does not fit the text");
  }
}
