import type { EndRecord, FailureRecord } from "kelpspar-shared";
import type { Attempt } from "./attempt.ts";
import { extendChecksum, formatChecksum } from "kelpspar-shared";

/**
 * Reads an attempt's answer like a caller: assembles the text by offset and
 * records the errors that a caller would detect. Returns the teardown, which
 * stops the reading.
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
      attempt.faults.push("received a record after the final one");
      return;
    }
    for (const chunk of log.readFrom(attempt.text.length)) {
      if (chunk.offset !== attempt.text.length) {
        attempt.faults.push(`chunk at offset ${chunk.offset} leaves a gap`);
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
      `end record states ${record.length} characters, received ${attempt.text.length}`,
    );
  }
  if (formatChecksum(extendChecksum(0, attempt.text)) !== record.checksum) {
    attempt.faults.push("checksum does not match the text");
  }
}
