import type { FindCrashingPartsOptions } from "./find_crashing_parts.ts";
import {
  countUnrelated,
  listCandidates,
  listUnrelatedCrashes,
  thresholdsOf,
} from "./find_crashing_parts.ts";
import { createCandidate } from "./part_candidate.ts";

/** What speaks for a part being the cause of crashes. */
export interface PartAssessment {
  /** Crashes that the part is blamed for, or was before it was cleared. */
  readonly crashes: number;
  /** Those that an answer cleared it of. */
  readonly clearedCrashes: number;
  /** Of answers that were cut as they began. */
  readonly crashesInSuccession: number;
  /** Of these and of answers that were cut a while later. */
  readonly wideCrashesInSuccession: number;
  readonly unrelatedCrashes: number;
  /** Whether it was common in the sound answers of a daemon. */
  readonly isCommon: boolean;
  /** Whether endpoints answered on it before. */
  readonly wasSound: boolean;
  /** Crashes in succession from which it counts as the cause. */
  readonly threshold: number;
  /** The same for `wideCrashesInSuccession`. */
  readonly wideThreshold: number;
}

/** Options of `assessPart`. */
export interface AssessPartOptions extends FindCrashingPartsOptions {
  /** Crashes that the part is blamed for, or was before it was cleared. */
  readonly crashes: readonly string[];
}

/** Explains for one part what `findCrashingParts` decides by. */
export function assessPart(
  part: string,
  options: AssessPartOptions,
): PartAssessment {
  const { crashes } = options;
  const open = options.wideTrials.get(part) ?? [];
  const candidate = createCandidate({
    ...options,
    part,
    trials: options.trials.get(part) ?? [],
    wideTrials: open,
  });
  const { series, wideSeries } = candidate;
  const related = new Set(
    [candidate, ...listCandidates(options, new Set())]
      .flatMap(({ trials: own }) => own.map(({ crash }) => crash)),
  );
  const unrelated = listUnrelatedCrashes(options, related, new Set());
  const thresholds = thresholdsOf(candidate, unrelated);
  return {
    crashes: crashes.length,
    clearedCrashes: crashes.length - open.length,
    crashesInSuccession: series.length,
    wideCrashesInSuccession: wideSeries.length,
    unrelatedCrashes: countUnrelated(candidate, unrelated),
    isCommon: candidate.isCommon,
    wasSound: candidate.wasSound,
    threshold: thresholds.narrow,
    wideThreshold: thresholds.wide,
  };
}
