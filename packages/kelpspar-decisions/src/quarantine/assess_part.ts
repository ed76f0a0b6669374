import type { FindCrashingPartsOptions } from "./find_crashing_parts.ts";
import {
  countUnrelated,
  listCandidates,
  listCrashTimes,
  listUnrelatedCrashes,
  thresholdOf,
} from "./find_crashing_parts.ts";
import { PoisonCrashes } from "./poison_crashes.ts";
import { createCandidate } from "./part_candidate.ts";

/** What speaks for a part being the cause of crashes. */
export interface PartAssessment {
  /** Crashes that the part is blamed for, or was before it was cleared. */
  readonly crashes: number;
  /** Those that an answer cleared it of. */
  readonly clearedCrashes: number;
  readonly crashesInSuccession: number;
  /** What these weigh; the older the answers, the less. */
  readonly weight: number;
  readonly unrelatedCrashes: number;
  /** Whether it was common in the sound answers of a daemon. */
  readonly isCommon: boolean;
  /** Whether endpoints answered on it before. */
  readonly wasSound: boolean;
  /** Weight from which it counts as the cause. */
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
  const { crashes } = options;
  const open = options.trials.get(part) ?? [];
  const candidate = createCandidate({ ...options, part, trials: open });
  const { series, weight } = candidate;
  const related = new Set(
    [
      candidate,
      ...listCandidates(options, {
        explained: new Set(),
        poisonCrashes: new PoisonCrashes(options),
      }),
    ]
      .flatMap(({ trials: own }) => own.map(({ crash }) => crash)),
  );
  const unrelated = listUnrelatedCrashes(
    listCrashTimes(options),
    related,
    new Set(),
  );
  return {
    crashes: crashes.length,
    clearedCrashes: crashes.length - open.length,
    crashesInSuccession: series.length,
    weight: Number(weight.toFixed(2)),
    unrelatedCrashes: countUnrelated(candidate, unrelated),
    isCommon: candidate.isCommon,
    wasSound: candidate.wasSound,
    threshold: thresholdOf(candidate, unrelated),
  };
}
