import type { LogLine } from "./log_line.ts";

/** A request's story. */
export interface RequestStory {
  /** The id of an attempt, or the fingerprint of all attempts of a request. */
  readonly id: string;
  /** Lines of the request itself, in order of time. */
  readonly own: readonly LogLine[];
  /** What its daemons learned or lost around it. */
  readonly around: readonly LogLine[];
}

/** How long before a request what happened may have caused its fate, ms. */
const BEFORE_MILLISECONDS = 3_000;
/** Messages that change what a daemon believes. */
const BELIEFS: ReadonlySet<string> = new Set([
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

/** Finds what a log says of a request, and of its daemons around it. */
export function explainRequest(
  id: string,
  lines: readonly LogLine[],
): RequestStory {
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
  const from = Date.parse(first.time) - BEFORE_MILLISECONDS;
  const until = Date.parse(last.time);
  const daemons = new Set(own.map((line) => line.daemon));
  const around = sorted.filter((line) => {
    const time = Date.parse(line.time);
    return BELIEFS.has(line.message) && daemons.has(line.daemon) &&
      time >= from && time <= until && !own.includes(line);
  });
  return { id, own, around };
}
