import type { CrashReport } from "./crash_report.ts";
import { answerAge } from "./answer_age.ts";

/** Crashes that make a part their cause if its answers had just begun. */
export const CRASH_THRESHOLD = 3;
/**
 * The same for a part that is at most crashes whatever causes them, while no
 * answer ends whole after them.
 */
export const COMMON_CRASH_THRESHOLD = 5;

/** Share that a crash counts against a request that waited for its answer. */
const WAITING_WEIGHT = 0.75;
/** Answers cut within this time of their beginning count fully. */
const FULL_WEIGHT_MILLISECONDS = 200;
/** Doublings of this time that count. */
const MAXIMUM_DOUBLINGS = 3;
/** Shortest time for which an answer must write to clear its parts. */
export const MINIMUM_SOUND_MILLISECONDS = 400;
/** How much longer it must write than an answer that was cut. */
const SOUND_FACTOR = 2;

/**
 * What a crash counts against the parts of a request there, at most 1.
 * The longer an answer had lasted, the likelier it is that another one caused
 * the crash: each doubling of its age takes one more crash. A request whose
 * answer hadn't begun may have waited for others.
 */
export function weightOfCrash(report: CrashReport): number {
  const age = answerAge(report);
  if (age === undefined) return 0;
  const doublings = Math.min(
    MAXIMUM_DOUBLINGS,
    Math.max(0, Math.log2(age / FULL_WEIGHT_MILLISECONDS)),
  );
  const weight = CRASH_THRESHOLD / (CRASH_THRESHOLD + doublings);
  return report.ranMilliseconds === undefined
    ? weight * WAITING_WEIGHT
    : weight;
}

/**
 * For how long an answer must write events until it shows that endpoints answer
 * on parts of answers that were cut at this age.
 */
export function soundAfter(ageMilliseconds: number): number {
  return Math.max(MINIMUM_SOUND_MILLISECONDS, SOUND_FACTOR * ageMilliseconds);
}
