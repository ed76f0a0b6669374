import type { TimedCrashReport } from "./crash_report.ts";

/**
 * Time after a crash from which another answer counts as begun after it. An
 * outage doesn't end its endpoints at exactly the same moment.
 */
const SEPARATION_MILLISECONDS = 100;
/**
 * Crashes of the same request that count against a part. A part is only blamed
 * beyond the request that has it once another request with it crashes too.
 */
const MAXIMUM_TRIALS_PER_REQUEST = 2;

/** An endpoint that crashed while it answered on a part. */
export interface PartTrial {
  readonly crash: string;
  /** When the crash was seen, monotonic milliseconds. */
  readonly at: number;
  /** When the youngest of the answers on the part had begun. */
  readonly beganAt: number;
  /** Time from its beginning to the crash. */
  readonly ranMilliseconds: number;
  /** The requests with the part that the endpoint had begun to answer. */
  readonly reports: readonly TimedCrashReport[];
}

/** Trials of parts, each oldest first. */
export type PartTrials = ReadonlyMap<string, readonly PartTrial[]>;

/** Creates a trial from the blamed reports of one crash, at least one. */
export function createTrial(
  crash: string,
  reports: readonly TimedCrashReport[],
): PartTrial {
  const at = Math.min(...reports.map((report) => report.at));
  const beganAt = Math.max(
    ...reports.map((report) => report.at - (report.ranMilliseconds ?? 0)),
  );
  return {
    crash,
    at,
    beganAt: Math.min(at, beganAt),
    ranMilliseconds: Math.max(0, at - beganAt),
    reports,
  };
}

/** Orders trials from the oldest to the newest. */
export function compareTrials(left: PartTrial, right: PartTrial): number {
  if (left.at !== right.at) return left.at - right.at;
  return left.crash < right.crash ? -1 : 1;
}

/**
 * Returns trials that each began after the crash of the one before. Answers
 * that an outage cuts together began before it, so that they count once.
 */
export function longestSeries(
  trials: readonly PartTrial[],
): readonly PartTrial[] {
  const series: PartTrial[] = [];
  const counts = new Map<string, number>();
  for (const trial of trials) {
    const previous = series.at(-1);
    const earliest = (previous?.at ?? Number.NEGATIVE_INFINITY) +
      SEPARATION_MILLISECONDS;
    if (trial.beganAt < earliest) continue;
    const fingerprint = trial.reports.map((report) => report.fingerprint)
      .sort().find((candidate) =>
        (counts.get(candidate) ?? 0) < MAXIMUM_TRIALS_PER_REQUEST
      );
    if (fingerprint === undefined) continue;
    counts.set(fingerprint, (counts.get(fingerprint) ?? 0) + 1);
    series.push(trial);
  }
  return series;
}
