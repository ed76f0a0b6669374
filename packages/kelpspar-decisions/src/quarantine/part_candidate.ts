import type { PartTrial } from "./part_trials.ts";
import { COMMON_CRASH_THRESHOLD, CRASH_THRESHOLD } from "./crash_weight.ts";
import { longestSeries, weightOfSeries } from "./part_trials.ts";

/**
 * A common part is considered before a rarer one only if its crashes weigh more
 * than this beyond those of the other, since it is beside most requests that
 * crash endpoints.
 */
const COMMON_HANDICAP = 1;

/** A part that may be the cause of crashes. */
export interface Candidate {
  readonly part: string;
  readonly isCommon: boolean;
  /** Whether endpoints answered on it before. */
  readonly wasSound: boolean;
  readonly trials: readonly PartTrial[];
  /** Trials in succession. */
  readonly series: readonly PartTrial[];
  /** What these weigh. */
  readonly weight: number;
  /** What those weigh after which answers on other parts ended whole. */
  readonly answeredWeight: number;
}

/**
 * Weight that makes a part the cause; `raise` is added for unrelated crashes.
 * That no answer ends whole on a common part tells little while none does at
 * all.
 */
export function thresholdOfCandidate(
  { isCommon, answeredWeight }: Pick<Candidate, "isCommon" | "answeredWeight">,
  raise = 0,
): number {
  const threshold = CRASH_THRESHOLD + raise;
  return isCommon && answeredWeight < threshold
    ? Math.max(COMMON_CRASH_THRESHOLD, threshold)
    : threshold;
}

/** Orders candidates from the likeliest cause to the least likely one. */
export function compareCandidates(left: Candidate, right: Candidate): number {
  return Number(left.wasSound) - Number(right.wasSound) ||
    rankOf(right) - rankOf(left) ||
    Number(left.isCommon) - Number(right.isCommon) ||
    right.series.length - left.series.length ||
    totalAge(left) - totalAge(right) ||
    (left.part < right.part ? -1 : 1);
}

/** Whether a candidate explains more than a rarer cause of this weight. */
export function outweighs(candidate: Candidate, weight: number): boolean {
  return rankOf(candidate) > weight;
}

function rankOf({ isCommon, weight }: Candidate): number {
  return isCommon ? weight - COMMON_HANDICAP : weight;
}

/** Ids of parts. */
export type PartSet = Pick<ReadonlySet<string>, "has">;

/** Options of `createCandidate`. */
export interface CandidateOptions {
  readonly part: string;
  /** Trials that nothing else explains. */
  readonly trials: readonly PartTrial[];
  readonly commonParts: PartSet;
  readonly soundParts: PartSet;
  /** Crashes after which an answer on some part ended whole. */
  readonly answeredCrashes: Pick<ReadonlySet<string>, "has">;
}

/** Creates a candidate from its trials and from what is known of parts. */
export function createCandidate(
  { part, trials, commonParts, soundParts, answeredCrashes }: CandidateOptions,
): Candidate {
  const isCommon = commonParts.has(part);
  const series = longestSeries(trials);
  return {
    part,
    isCommon,
    wasSound: isCommon || soundParts.has(part),
    trials,
    series,
    weight: weightOfSeries(series),
    answeredWeight: weightOfSeries(
      series.filter(({ crash }) => answeredCrashes.has(crash)),
    ),
  };
}

function totalAge({ series }: Candidate): number {
  return series.reduce((sum, trial) => sum + trial.ageMilliseconds, 0);
}
