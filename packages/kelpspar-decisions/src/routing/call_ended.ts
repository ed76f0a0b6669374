import type { CallOutcome } from "./call_outcome.ts";

/** The end of a call to an endpoint. */
export interface CallEnded {
  readonly endpointId: string;
  /**
   * The value that `callStarted` returned. A call that outlived the incarnation
   * it was sent to carries no information about the incarnation's successor.
   */
  readonly generation: number;
  /** When it ended, monotonic milliseconds. */
  readonly at: number;
  /**
   * The latency to compare, milliseconds: the time to the first record for
   * streams, whose lengths differ, and the total time for other calls.
   */
  readonly latencyMilliseconds: number;
  readonly outcome: CallOutcome;
  /** The model called; latencies of different models are not compared. */
  readonly model?: string;
}
