import type { RunnerRun } from "../wire/runner_stand_in.ts";
import type { PlannedStop, StopAttempt } from "./stop_attempt.ts";
import { groupRuns } from "../wire/group_runs.ts";

/** The users' rule: planned work lasts until this long after `graceS`. */
const AFTER_GRACE_MILLISECONDS = 1_000;
/** The users' rule: a connection may end this soon after a request. */
const LOSS_SLACK_MILLISECONDS = 200;
/** The users' rule: requests sent this soon after SIGTERM may be cut, */
const EXCUSED_MILLISECONDS = 3_000;
/** if their runner still works in this last share of `graceS`. */
const EXCUSED_SHARE = 1 / 6;
/** Status codes that guarantee that the request did not run. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);
const SERVED_STATUS = 200;
/** Timers of callers may fire this much early. */
const TIMER_SLACK_MILLISECONDS = 5;
const REFUSAL_PERCENTILE = 0.95;

/** What happened around a series of planned stops. */
export interface StopRecords {
  readonly attempts: readonly StopAttempt[];
  readonly runs: readonly RunnerRun[];
  readonly stops: readonly PlannedStop[];
  readonly graceMilliseconds: number;
  readonly deadlineMilliseconds: number;
  readonly isRepeatable: boolean;
}

/** The result of a series of planned stops. */
export interface StopVerdict {
  readonly sent: number;
  readonly whole: number;
  /** Refused as not run. */
  readonly refused: number;
  /** Time within which 95 in 100 of these were told, milliseconds. */
  readonly refusedWithin: number;
  /** Failed with another status, after they may have run. */
  readonly failed: number;
  readonly notConnected: number;
  /** Responses that ended early with an excuse. */
  readonly cut: number;
  /** One line for each violated guarantee. */
  readonly violations: readonly string[];
}

/** Checks the users' rules on planned stops (LOST, TWICE and REFUSED). */
export function checkStops(records: StopRecords): StopVerdict {
  const { attempts, runs, stops } = records;
  const runsOf = groupRuns(runs);
  const of = (attempt: StopAttempt): readonly RunnerRun[] =>
    runsOf.get(attempt.attemptId) ?? [];
  const isRefusal = ({ status }: StopAttempt): boolean =>
    NOT_RUN_STATUSES.has(status ?? 0);
  const whole = attempts.filter(({ status, isWhole }) =>
    isWhole && status === SERVED_STATUS
  );
  const refused = attempts.filter(isRefusal);
  const notConnected = attempts.filter(({ error }) => error === "ECONNREFUSED");
  const lost = attempts.filter((attempt) =>
    isLost(attempt, of(attempt), records)
  );
  const cut = attempts.filter(({ isWhole }) => !isWhole);
  return {
    sent: attempts.length,
    whole: whole.length,
    refused: refused.length,
    refusedWithin: percentile(
      refused.map(({ sentAt, endedAt }) => endedAt - sentAt),
      REFUSAL_PERCENTILE,
    ),
    failed:
      attempts.filter((attempt) =>
        attempt.isWhole && attempt.status !== SERVED_STATUS &&
        !isRefusal(attempt)
      ).length,
    notConnected: notConnected.length,
    cut: cut.length - notConnected.length - lost.length,
    violations: [
      ...lost.map((attempt) => describeLoss(attempt, records)),
      ...attempts.filter((attempt) =>
        !records.isRepeatable && of(attempt).length > 1
      ).map(({ attemptId }) => `${attemptId}: ran twice`),
      ...refused.filter((attempt) =>
        !records.isRepeatable && of(attempt).length > 0
      ).map(({ attemptId }) => `${attemptId}: said not to have run, and ran`),
      ...stops.filter(({ wasKilled }) => wasKilled).map(({ address }) =>
        `${address}: killed after its grace period`
      ),
    ],
  };
}

function percentile(values: readonly number[], share: number): number {
  const sorted = values.toSorted((left, right) => left - right);
  return Math.round(sorted[Math.floor(sorted.length * share)] ?? 0);
}

function isLost(
  attempt: StopAttempt,
  runs: readonly RunnerRun[],
  records: StopRecords,
): boolean {
  const { sentAt, endedAt, isWhole, error } = attempt;
  const { graceMilliseconds, deadlineMilliseconds } = records;
  if (isWhole || error === "ECONNREFUSED") return false;
  const lasted = endedAt - sentAt;
  if (lasted >= deadlineMilliseconds - TIMER_SLACK_MILLISECONDS) return false;
  const stop = findStop(attempt, records);
  if (stop === undefined) return false;
  const isOverdue = lasted > LOSS_SLACK_MILLISECONDS;
  if (runs.length === 0 && !isOverdue) return false;
  const lastSixth = stop.signalledAt + graceMilliseconds * (1 - EXCUSED_SHARE);
  // The runner sees the cut a moment after the caller, or before it.
  const wasRunning = runs.some((run) =>
    (run.endedAt ?? Number.POSITIVE_INFINITY) >= lastSixth
  );
  const isEarly = sentAt <= stop.signalledAt + EXCUSED_MILLISECONDS;
  return !(isEarly && wasRunning && endedAt >= lastSixth);
}

/** The stop that was in progress when an attempt ended. */
function findStop(
  { address, endedAt }: StopAttempt,
  { stops, graceMilliseconds }: StopRecords,
): PlannedStop | undefined {
  const until = graceMilliseconds + AFTER_GRACE_MILLISECONDS;
  return stops.findLast((stop) =>
    stop.address === address && endedAt >= stop.signalledAt &&
    endedAt <= stop.signalledAt + until
  );
}

function describeLoss(attempt: StopAttempt, records: StopRecords): string {
  const { attemptId, address, sentAt, endedAt, status, error } = attempt;
  const signalledAt = findStop(attempt, records)?.signalledAt ?? 0;
  const since = (at: number): number => Math.round(at - signalledAt);
  return `${attemptId}: lost at ${address}, sent ${since(sentAt)} ms and ` +
    `ended ${since(endedAt)} ms after SIGTERM (${status ?? error})`;
}
