import type { RetryCause } from "../retries/retry_cause.ts";
import type { ChainRun } from "./chain_run.ts";

/** A piece that is queued or being made. */
export interface PieceTask {
  readonly chain: ChainRun;
  readonly stage: number;
  readonly piece: number;
  /** In-flight calls that carry it: 2 while a slow call is hedged. */
  calls: number;
  isQueued: boolean;
  /** Number of failed calls. */
  failures: number;
  /** Whether it may have reached an endpoint before. */
  isRepeat: boolean;
  /** Why it would be sent again. */
  retryCause: RetryCause;
}
