import type { PlannedStop } from "../stops/stop_attempt.ts";
import type { RunnerRun } from "../wire/runner_stand_in.ts";
import type { PausedStream } from "./paused_stream.ts";
import { checkStops } from "../stops/check_stops.ts";
import { groupRuns } from "../wire/group_runs.ts";
import { readEvents } from "./read_events.ts";

/** What callers and model endpoints saw; times are monotonic milliseconds. */
export interface PauseRecords {
  readonly streams: readonly PausedStream[];
  readonly runs: readonly RunnerRun[];
  /** When endpoints stopped to work, by id. */
  readonly endings: ReadonlyMap<string, number>;
  readonly stops: readonly PlannedStop[];
  /** Time that daemons have to stop. */
  readonly graceMilliseconds: number;
  /** Time after which callers leave. */
  readonly deadlineMilliseconds: number;
}

/** How a stream ended for its caller. */
export type StreamEnd =
  | "whole"
  /** With a status that says that it wasn't served for now. */
  | "refused"
  /** With another status than 200. */
  | "failed"
  /** The connection closed without a status. */
  | "unanswered"
  | "timed_out"
  /** Begun and cut by a daemon, though its endpoint went on. */
  | "cut"
  /** Begun and cut; its endpoint had ended. */
  | "cut_by_endpoint"
  /** Begun and cut by a daemon that was told to stop. */
  | "cut_by_stop";

/** The result of a play. */
export interface PauseVerdict {
  readonly ends: Readonly<Record<StreamEnd, number>>;
  /** Sends that model endpoints ran. */
  readonly runs: number;
  /** Streams with an event missing. */
  readonly gaps: number;
  /** Streams with an event twice. */
  readonly repeats: number;
  /** Streams with an event of two runs. */
  readonly joined: number;
  /** Runs that went on beside another one for too long. */
  readonly doubled: number;
  /** Time to the end of whole streams, milliseconds. */
  readonly medianMilliseconds: number;
  readonly slowMilliseconds: number;
  /** One line for each broken promise. */
  readonly violations: readonly string[];
}

/** The users' rule: an endpoint may work beside another one for this time. */
const TWICE_MILLISECONDS = 400;
/** Daemons may end a stream this much before its caller leaves. */
const DEADLINE_SLACK_MILLISECONDS = 250;
/** An answer may end this much after the process that sent it. */
const STOP_SLACK_MILLISECONDS = 200;
const SERVED_STATUS = 200;
const REFUSED_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);
const SLOW_SHARE = 0.95;

/** Judges what became of streams whose endpoints paused or ended. */
export function judgePauses(records: PauseRecords): PauseVerdict {
  const { streams, runs } = records;
  const ends: Record<StreamEnd, number> = {
    whole: 0,
    refused: 0,
    failed: 0,
    unanswered: 0,
    timed_out: 0,
    cut: 0,
    cut_by_endpoint: 0,
    cut_by_stop: 0,
  };
  const violations: string[] = [];
  const times: number[] = [];
  const stopped: PausedStream[] = [];
  let gaps = 0;
  let repeats = 0;
  let joined = 0;
  for (const stream of streams) {
    const end = endOf(stream, records);
    ends[end]++;
    if (end === "whole") times.push(stream.endedAt - stream.sentAt);
    if (end === "cut_by_stop") stopped.push(stream);
    if (end === "cut") violations.push(describe(stream, "cut"));
    if (stream.status !== SERVED_STATUS) continue;
    const read = readEvents(stream.text, stream.attemptId);
    const isShort = stream.isWhole && read.count < stream.events;
    if (read.hasGap || (isShort && !read.hasRepeat)) {
      gaps++;
      violations.push(describe(stream, "has a gap"));
    }
    if (read.hasRepeat) {
      repeats++;
      violations.push(describe(stream, "has an event twice"));
    }
    if (read.isJoined || (stream.isWhole && read.rest !== "")) {
      joined++;
      violations.push(describe(stream, "has an event of two runs"));
    }
  }
  const doubled = findDoubledRuns(runs);
  const sorted = times.toSorted((left, right) => left - right);
  const timeAt = (share: number): number =>
    Math.round(sorted[Math.floor(sorted.length * share)] ?? 0);
  return {
    ends,
    runs: runs.length,
    gaps,
    repeats,
    joined,
    doubled: doubled.length,
    medianMilliseconds: timeAt(0.5),
    slowMilliseconds: timeAt(SLOW_SHARE),
    violations: [
      ...violations,
      ...checkStops({ ...records, attempts: stopped, isRepeatable: true })
        .violations,
      ...doubled.map(describeDoubled),
    ],
  };
}

/** How a stream ended. */
export function endOf(stream: PausedStream, records: PauseRecords): StreamEnd {
  const { status, isWhole, sentAt, endedAt, address } = stream;
  if (isWhole) {
    if (status === SERVED_STATUS) return "whole";
    return REFUSED_STATUSES.has(status ?? 0) ? "refused" : "failed";
  }
  const { deadlineMilliseconds, endings, stops } = records;
  const limit = deadlineMilliseconds - DEADLINE_SLACK_MILLISECONDS;
  if (endedAt - sentAt >= limit) return "timed_out";
  if (status === SERVED_STATUS) {
    const runnerId = lastRunnerOf(stream, records.runs) ?? "";
    const endingAt = endings.get(runnerId) ?? Number.POSITIVE_INFINITY;
    if (endingAt <= endedAt) return "cut_by_endpoint";
  }
  const isStopped = stops.some((stop) =>
    stop.address === address && endedAt >= stop.signalledAt &&
    endedAt <= (stop.endedAt ?? Number.POSITIVE_INFINITY) +
        STOP_SLACK_MILLISECONDS
  );
  if (isStopped) return "cut_by_stop";
  return status === SERVED_STATUS ? "cut" : "unanswered";
}

/** A run on which an endpoint worked too long after another had begun. */
interface DoubledRun {
  readonly run: RunnerRun;
  readonly other: RunnerRun;
}

function findDoubledRuns(
  runs: readonly RunnerRun[],
): readonly DoubledRun[] {
  return [...groupRuns(runs).values()].flatMap((same) =>
    same.flatMap((run) => {
      const other = same.find((found) => isDoubled(run, found));
      return other === undefined ? [] : [{ run, other }];
    })
  );
}

/**
 * Whether a run goes on for too long after another one began to write. It may
 * if the other one was sent before it and is given up in its favour.
 */
function isDoubled(run: RunnerRun, other: RunnerRun): boolean {
  const { firstEventAt = Number.POSITIVE_INFINITY } = other;
  const limit = firstEventAt + TWICE_MILLISECONDS;
  const isGivenUp = other.at < run.at && other.isFinished !== true &&
    endedAtOf(other) <= limit;
  return other.runnerId !== run.runnerId && run.at <= firstEventAt &&
    !isGivenUp && endedAtOf(run) > limit;
}

function endedAtOf({ endedAt = Number.POSITIVE_INFINITY }: RunnerRun): number {
  return endedAt;
}

function describeDoubled({ run, other }: DoubledRun): string {
  const { firstEventAt = 0 } = other;
  const since = (at = Number.POSITIVE_INFINITY): number =>
    Math.round(at - firstEventAt);
  return `${run.attemptId}: ran at ${run.runnerId} from ${since(run.at)} to ` +
    `${since(run.endedAt)} ms after ${other.runnerId} began to write, which ` +
    `ran from ${since(other.at)} to ${since(other.endedAt)} ms`;
}

/** The endpoint that wrote the last event, or ran the stream last. */
function lastRunnerOf(
  { text, attemptId }: PausedStream,
  runs: readonly RunnerRun[],
): string | undefined {
  const { lastRunnerId } = readEvents(text, attemptId);
  return lastRunnerId ??
    runs.findLast((run) => run.attemptId === attemptId)?.runnerId;
}

function describe(stream: PausedStream, what: string): string {
  const { attemptId, address, sentAt, endedAt, status, error } = stream;
  return `${attemptId}: ${what} at ${address}, ` +
    `${Math.round(endedAt - sentAt)} ms after it was sent (${status ?? error})`;
}
