import type { LogLine } from "./log_line.ts";
import type { ReportedCrash } from "./list_crashes.ts";
import { listCrashes } from "./list_crashes.ts";
import { partsOf } from "./parts_of.ts";

/** The log lines about one request. */
export interface RequestTimeline {
  /**
   * The id of an attempt, the fingerprint of all attempts of a request, or the
   * id of a part of prompts.
   */
  readonly id: string;
  /** Crashes that daemons reported for a part of prompts, oldest first. */
  readonly crashes: readonly ReportedCrash[];
  /** Lines about the request itself, sorted by time. */
  readonly own: readonly LogLine[];
  /** State changes of its daemons around the request, sorted by time. */
  readonly around: readonly LogLine[];
}

/** How long before a request an event may still have affected its outcome. */
const CONTEXT_WINDOW_MILLISECONDS = 3_000;
/** Log messages about changes of a daemon's state. */
const CONTEXT_MESSAGES: ReadonlySet<string> = new Set([
  "configuration in force",
  "coordinator lost",
  "daemon heard",
  "daemon silent",
  "endpoint leaving",
  "endpoint missing",
  "endpoint names a limit",
  "endpoint names no limit any more",
  "endpoint answer overdue",
  "endpoint replaced",
  "endpoint wants a pause",
  "quarantine read",
  "request quarantined",
  "request released from quarantine",
  "settings read again",
  "stage load",
  "starting",
  "stopping",
  "store history gone",
  "store lost",
  "store regained",
]);

/** Log messages that concern a part of prompts itself. */
const PART_MESSAGES: ReadonlySet<string> = new Set([
  "endpoint checked after isolation",
  "endpoint checked after truncated answer",
  "clearing answer crashed its endpoint",
  "prompt parts cleared",
  "prompt parts quarantined",
  "prompt parts released from quarantine",
  "suspect prompt part sent",
  "quarantine released by the operator",
]);

/** Finds the log lines of a request and of its daemons' state changes. */
export function explainRequest(
  id: string,
  lines: readonly LogLine[],
): RequestTimeline {
  const sorted = [...lines].sort((left, right) =>
    Date.parse(left.time) - Date.parse(right.time)
  );
  const own = sorted.filter((line) =>
    line.attempt === id || line.fingerprint === id ||
    line.attempts?.split(",").includes(id) === true ||
    PART_MESSAGES.has(line.message) &&
      (line.id === id || partsOf(line).includes(id))
  );
  const first = own[0];
  const last = own.at(-1);
  if (first === undefined || last === undefined) {
    return { id, crashes: [], own, around: [] };
  }
  const from = Date.parse(first.time) - CONTEXT_WINDOW_MILLISECONDS;
  const to = Date.parse(last.time);
  const daemons = new Set(own.map((line) => line.daemon));
  const parts = new Set(own.flatMap(partsOf));
  const around = sorted.filter((line) => {
    const time = Date.parse(line.time);
    if (time > to || !daemons.has(line.daemon) || own.includes(line)) {
      return false;
    }
    return CONTEXT_MESSAGES.has(line.message) && time >= from ||
      line.message === "prompt parts quarantined" &&
        partsOf(line).every((part) => parts.has(part));
  });
  return { id, crashes: listCrashes(id, own), own, around };
}
