import type { PieceTask } from "./piece_task.ts";

/** A call that an endpoint works on. */
export interface RunningCall {
  readonly tasks: readonly PieceTask[];
  readonly startedAt: number;
  /** What it should take on a sound endpoint, milliseconds. */
  readonly soundTime: number;
  /** Room that its results will need, bytes. */
  readonly resultBytes: number;
  readonly abort: AbortController;
  /** Its pieces were given to other endpoints as well. */
  isDoubled: boolean;
}
