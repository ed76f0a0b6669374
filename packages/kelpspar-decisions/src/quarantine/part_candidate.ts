import type { BlameWindow } from "./blame_window.ts";
import type { PartTrial } from "./part_trials.ts";
import { NARROW_WINDOW, WIDE_WINDOW } from "./blame_window.ts";
import { longestSeries } from "./part_trials.ts";

/**
 * A common part is considered before a rarer one only if it is at more crashes
 * than these beyond those of the other, since it is beside most requests that
 * crash endpoints.
 */
const COMMON_HANDICAP = 1;

/** A part that may be the cause of crashes. */
export interface Candidate {
  readonly part: string;
  readonly isCommon: boolean;
  /** Whether endpoints answered on it before. */
  readonly wasSound: boolean;
  /** Trials in the wide blame window. */
  readonly trials: readonly PartTrial[];
  /** Trials in succession in the narrow blame window. */
  readonly series: readonly PartTrial[];
  /** The same in the wide one. */
  readonly wideSeries: readonly PartTrial[];
}

/** Crashes in succession that make a part the cause, by blame window. */
export interface CrashThresholds {
  readonly narrow: number;
  readonly wide: number;
}

/** Successive crashes that make a part the cause, without unrelated ones. */
export function baseThresholds(isCommon: boolean): CrashThresholds {
  const thresholdOf = (window: BlameWindow): number =>
    isCommon ? window.commonCrashThreshold : window.crashThreshold;
  return {
    narrow: thresholdOf(NARROW_WINDOW),
    wide: thresholdOf(WIDE_WINDOW),
  };
}

/** Orders candidates from the likeliest cause to the least likely one. */
export function compareCandidates(left: Candidate, right: Candidate): number {
  return Number(left.wasSound) - Number(right.wasSound) ||
    weightOf(right) - weightOf(left) ||
    Number(left.isCommon) - Number(right.isCommon) ||
    right.series.length - left.series.length ||
    right.wideSeries.length - left.wideSeries.length ||
    totalRan(left) - totalRan(right) ||
    (left.part < right.part ? -1 : 1);
}

/**
 * How many crashes a candidate explains beyond those that it takes. Where each
 * crash cuts many requests, innocent parts are at several crashes of a common
 * cause, but at fewer than the cause itself.
 */
function weightOf({ isCommon, series, wideSeries }: Candidate): number {
  const { narrow, wide } = baseThresholds(false);
  const weight = Math.max(series.length - narrow, wideSeries.length - wide);
  return isCommon ? weight - COMMON_HANDICAP : weight;
}

/** Options of `createCandidate`. */
export interface CandidateOptions {
  readonly part: string;
  /** Trials that nothing else explains, in the narrow blame window. */
  readonly trials: readonly PartTrial[];
  /** The same in the wide one. */
  readonly wideTrials: readonly PartTrial[];
  readonly commonParts: ReadonlySet<string>;
  readonly soundParts: ReadonlySet<string>;
}

/** Creates a candidate from its trials and from what is known of parts. */
export function createCandidate(
  { part, trials, wideTrials, commonParts, soundParts }: CandidateOptions,
): Candidate {
  const isCommon = commonParts.has(part);
  return {
    part,
    isCommon,
    wasSound: isCommon || soundParts.has(part),
    trials: wideTrials,
    series: longestSeries(trials),
    wideSeries: longestSeries(wideTrials),
  };
}

function totalRan({ series }: Candidate): number {
  return series.reduce((sum, trial) => sum + trial.ranMilliseconds, 0);
}
