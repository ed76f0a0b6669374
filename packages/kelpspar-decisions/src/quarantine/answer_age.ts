import type { CrashReport } from "./crash_report.ts";

/**
 * How old an answer was when its endpoint crashed, milliseconds: for how long it
 * had written events or, before its head, for how long its request had waited.
 * Undefined if that isn't known, as from daemons of older builds.
 */
export function answerAge(
  { ranMilliseconds, wroteMilliseconds = 0, waitedMilliseconds }: CrashReport,
): number | undefined {
  return ranMilliseconds === undefined ? waitedMilliseconds : wroteMilliseconds;
}
