import type { FindCrashingPartsOptions } from "./find_crashing_parts.ts";
import {
  countUnrelated,
  listCandidates,
  listUnrelatedCrashes,
  thresholdOf,
} from "./find_crashing_parts.ts";
import { longestSeries } from "./part_trials.ts";

/** What speaks for a part being the cause of crashes. */
export interface PartAssessment {
  /** Crashes that the part is blamed for, or was before it was cleared. */
  readonly crashes: number;
  /** Those that an answer cleared it of. */
  readonly clearedCrashes: number;
  readonly crashesInSuccession: number;
  readonly unrelatedCrashes: number;
  /** Whether it was common in the sound answers of a daemon. */
  readonly isCommon: boolean;
  /** Crashes in succession from which it counts as the cause. */
  readonly threshold: number;
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
  const { crashes, trials } = options;
  const open = trials.get(part) ?? [];
  const candidate = {
    part,
    isCommon: options.commonParts.has(part),
    trials: open,
    series: longestSeries(open),
  };
  const related = new Set(
    [candidate, ...listCandidates(options, new Set())]
      .flatMap(({ trials: own }) => own.map(({ crash }) => crash)),
  );
  const unrelated = listUnrelatedCrashes(options, related, new Set());
  return {
    crashes: crashes.length,
    clearedCrashes: crashes.length - open.length,
    crashesInSuccession: candidate.series.length,
    unrelatedCrashes: countUnrelated(candidate, unrelated),
    isCommon: candidate.isCommon,
    threshold: thresholdOf(candidate, unrelated),
  };
}
