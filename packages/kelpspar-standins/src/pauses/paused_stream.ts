import type { StopAttempt } from "../stops/stop_attempt.ts";

/** One stream as its caller saw it. */
export interface PausedStream extends StopAttempt {
  /** Number of events in the complete stream. */
  readonly events: number;
  /** What arrived of it. */
  readonly text: string;
}
