import type { Loan } from "kelpspar-decisions/retries";
import type { RetryCause } from "./retry_cause.ts";

/** Retries that were spent together. */
export interface SpentRetries {
  readonly service: string;
  readonly cause: RetryCause;
  readonly count: number;
  /** Number of them that were earned; the others were lent. */
  readonly credits: number;
  readonly loans: readonly Loan[];
}
