import type { SpentRetries } from "../retries/spent_retries.ts";
import type { PieceTask } from "./piece_task.ts";

/** The pieces of one call, as they were counted when it was sent. */
export interface SentPieces {
  readonly tasks: readonly PieceTask[];
  /** Zone of the endpoint. */
  readonly zone: string;
  /** Number of pieces that were sent for the first time. */
  readonly first: number;
  readonly spent: readonly SpentRetries[];
}
