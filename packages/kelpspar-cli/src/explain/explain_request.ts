import type { LogLine } from "./log_line.ts";

/** The log lines about one request. */
export interface RequestTimeline {
  /** The id of an attempt, or the fingerprint of all attempts of a request. */
  readonly id: string;
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
    line.attempts?.split(",").includes(id) === true
  );
  const first = own[0];
  const last = own.at(-1);
  if (first === undefined || last === undefined) {
    return { id, own, around: [] };
  }
  const from = Date.parse(first.time) - CONTEXT_WINDOW_MILLISECONDS;
  const to = Date.parse(last.time);
  const daemons = new Set(own.map((line) => line.daemon));
  const around = sorted.filter((line) => {
    const time = Date.parse(line.time);
    return CONTEXT_MESSAGES.has(line.message) && daemons.has(line.daemon) &&
      time >= from && time <= to && !own.includes(line);
  });
  return { id, own, around };
}
