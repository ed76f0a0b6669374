import type { EndRecord } from "kelpspar-shared";
import type { StoredAnswer } from "./send_to_daemon.ts";

/** Creates the end record of a stored answer. */
export function toEndRecord(answer: StoredAnswer): EndRecord {
  const { length, checksum, cost } = answer;
  return {
    type: "end",
    requestId: "stored",
    length,
    checksum,
    cost,
    elapsedMilliseconds: 0,
  };
}
