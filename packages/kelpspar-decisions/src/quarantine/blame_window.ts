import type { TimedCrashReport } from "./crash_report.ts";

/** Which answers are blamed for a crash, and which ones disprove it. */
export interface BlameWindow {
  /** Longest time for which a blamed answer had written events, milliseconds. */
  readonly maximumWroteMilliseconds: number;
  /**
   * An answer that writes events for this long, or ends whole, shows that its
   * endpoint answers on its parts. Longer than a blamed answer writes.
   */
  readonly soundAfterMilliseconds: number;
  /** Successive crashes from which a part counts as their cause. */
  readonly crashThreshold: number;
  /** The same for a part that is at most crashes whatever causes them. */
  readonly commonCrashThreshold: number;
}

/** Answers that were cut as they began. */
export const NARROW_WINDOW: BlameWindow = {
  maximumWroteMilliseconds: 200,
  soundAfterMilliseconds: 400,
  crashThreshold: 3,
  commonCrashThreshold: 5,
};

/**
 * Answers that were cut a while after they began. More sound ones are among
 * them, so that it takes more crashes.
 */
export const WIDE_WINDOW: BlameWindow = {
  maximumWroteMilliseconds: 1_000,
  soundAfterMilliseconds: 2_000,
  crashThreshold: 5,
  commonCrashThreshold: 7,
};

/** Whether the endpoint had begun to answer the request within the window. */
export function isBlamed(
  { ranMilliseconds, wroteMilliseconds = 0 }: TimedCrashReport,
  { maximumWroteMilliseconds }: BlameWindow = NARROW_WINDOW,
): boolean {
  return ranMilliseconds !== undefined &&
    wroteMilliseconds <= maximumWroteMilliseconds;
}
