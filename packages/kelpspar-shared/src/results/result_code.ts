import type { Outcome } from "./outcome.ts";
import type { RetryAdvice } from "./retry_advice.ts";

/** One row of the table of result codes in docs/RESULT_CODES.md. */
export interface ResultCode {
  /** The number that callers, operators and logs see. */
  readonly number: number;
  /** The outcome, unless the failure itself proves another one. */
  readonly outcome: Outcome;
  readonly retry: RetryAdvice;
  readonly httpStatus: number;
  /** The exit code of a process that exits with this result. */
  readonly exitCode: number;
  /** One human-readable sentence, without a full stop. */
  readonly meaning: string;
}
