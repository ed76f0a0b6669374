import type { ChainRun } from "./chain_run.ts";

/** A piece that waits for an endpoint or is being made. */
export interface PieceTask {
  readonly chain: ChainRun;
  readonly stage: number;
  readonly piece: number;
  /** Calls under way that carry it: 2 while a slow call is doubled. */
  calls: number;
  isQueued: boolean;
  /** Calls that failed to make it. */
  failures: number;
}
