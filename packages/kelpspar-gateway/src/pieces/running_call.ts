import type { PieceTask } from "./piece_task.ts";

/** An in-flight call to an endpoint. */
export interface RunningCall {
  readonly tasks: readonly PieceTask[];
  readonly startedAt: number;
  /** Expected time on a healthy endpoint, milliseconds. */
  readonly expectedCallTime: number;
  /** Slowdown that the endpoint had reported before the call. */
  readonly reportedSlowdown: number;
  /** Room that its results will take, bytes. */
  readonly resultBytes: number;
  readonly abort: AbortController;
  /** Its pieces were queued for other endpoints as well. */
  isHedged: boolean;
}
