import type { TimedCrashReport } from "./crash_report.ts";
import { answerAge } from "./answer_age.ts";
import { weightOfCrash } from "./crash_weight.ts";

/**
 * Time after a crash from which another answer counts as begun after it. An
 * outage doesn't end its endpoints at exactly the same moment.
 */
const SEPARATION_MILLISECONDS = 100;
/** Time after which another crash isn't part of the same outage. */
const OUTAGE_MILLISECONDS = 250;
/** Share that further crashes of an outage count. */
const OUTAGE_WEIGHT = 0.25;
/** What they count together at most. */
const MAXIMUM_OUTAGE_WEIGHT = 0.5;
/**
 * Crashes of the same request that count against a part. A part is only blamed
 * beyond the request that has it once another request with it crashes too.
 */
const MAXIMUM_TRIALS_PER_REQUEST = 2;

/** Answers on a part at one crash that are suspected at most, youngest first. */
const MAXIMUM_SUSPECTS = 3;

/** An endpoint that crashed with answers on a part. */
export interface PartTrial {
  readonly crash: string;
  /** When the crash was seen, monotonic milliseconds. */
  readonly at: number;
  /** When the youngest of the answers on the part had begun. */
  readonly beganAt: number;
  /** Age that an answer has to outlast to show that the part isn't the cause. */
  readonly ageMilliseconds: number;
  /** What the crash counts against the part. */
  readonly weight: number;
  /** The requests with the part that were at the endpoint. */
  readonly reports: readonly TimedCrashReport[];
  /** Their fingerprints, in ascending order. */
  readonly fingerprints: readonly string[];
}

/** Trials of parts, each oldest first. */
export type PartTrials = ReadonlyMap<string, readonly PartTrial[]>;

/** Creates a trial from the reports of one crash, at least one. */
export function createTrial(
  crash: string,
  reports: readonly TimedCrashReport[],
): PartTrial {
  const at = Math.min(...reports.map((report) => report.at));
  const beganAt = Math.max(...reports.map(beginningOf));
  return {
    crash,
    at,
    beganAt: Math.min(at, beganAt),
    ageMilliseconds: suspectAge(reports),
    weight: Math.max(...reports.map(weightOfCrash)),
    reports,
    fingerprints: reports.map(({ fingerprint }) => fingerprint).sort(),
  };
}

/**
 * Any of the few answers on a rare part may have caused the crash, but not all of
 * those on a part that most requests share.
 */
function suspectAge(reports: readonly TimedCrashReport[]): number {
  const ages = reports.flatMap((report) => answerAge(report) ?? [])
    .sort((left, right) => left - right);
  return ages[Math.min(MAXIMUM_SUSPECTS, ages.length) - 1] ?? 0;
}

/** When an answer began, or its request was sent if it hadn't begun. */
function beginningOf(
  { at, ranMilliseconds, waitedMilliseconds = 0 }: TimedCrashReport,
): number {
  return at - (ranMilliseconds ?? waitedMilliseconds);
}

/** Orders trials from the oldest to the newest. */
export function compareTrials(left: PartTrial, right: PartTrial): number {
  if (left.at !== right.at) return left.at - right.at;
  return left.crash < right.crash ? -1 : 1;
}

/**
 * Returns trials that count one by one: those of answers that began after the
 * crash before, and those of later outages. Each has the weight of its outage.
 */
export function longestSeries(
  trials: readonly PartTrial[],
): readonly PartTrial[] {
  const outages: PartTrial[][] = [];
  const counts = new Map<string, number>();
  for (const trial of trials) {
    const outage = outages.at(-1);
    const previousAt = outage?.[0]?.at ?? Number.NEGATIVE_INFINITY;
    const isSeparate = trial.at >= previousAt + OUTAGE_MILLISECONDS ||
      trial.beganAt >= previousAt + SEPARATION_MILLISECONDS;
    if (!isSeparate) {
      outage?.push(trial);
      continue;
    }
    const fingerprint = trial.fingerprints.find((candidate) =>
      (counts.get(candidate) ?? 0) < MAXIMUM_TRIALS_PER_REQUEST
    );
    if (fingerprint === undefined) continue;
    counts.set(fingerprint, (counts.get(fingerprint) ?? 0) + 1);
    outages.push([trial]);
  }
  return outages.map(mergeOutage);
}

/**
 * Returns the first trial of an outage, with what the others add to its weight:
 * a sound part is seldom at several of the endpoints that end together.
 */
function mergeOutage(outage: readonly PartTrial[]): PartTrial {
  const [first, ...others] = outage as [PartTrial, ...PartTrial[]];
  const added = OUTAGE_WEIGHT * weightOfSeries(others);
  return {
    ...first,
    weight: first.weight + Math.min(MAXIMUM_OUTAGE_WEIGHT, added),
  };
}

/** What trials count together. */
export function weightOfSeries(series: readonly PartTrial[]): number {
  return series.reduce((sum, { weight }) => sum + weight, 0);
}
