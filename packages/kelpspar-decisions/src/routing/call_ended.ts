import type { CallOutcome } from "./call_outcome.ts";

/** The end of a call to an endpoint. */
export interface CallEnded {
  readonly endpointId: string;
  /**
   * What `callStarted` returned. A call that outlived the incarnation it was
   * sent to says nothing of the one that took its place.
   */
  readonly generation: number;
  /** When it ended, monotonic milliseconds. */
  readonly at: number;
  /**
   * What latencies are compared by, milliseconds: the time to the first record
   * for streams, whose lengths differ, and the whole time for other calls.
   */
  readonly latencyMilliseconds: number;
  readonly outcome: CallOutcome;
  /** The model called; latencies of different models are not compared. */
  readonly model?: string;
}
