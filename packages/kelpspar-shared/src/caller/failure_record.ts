import type { FailureRecord } from "./answer_record.ts";
import type { KelpsparError } from "../results/kelpspar_error.ts";
import { RESULT_CODES } from "../results/result_codes.ts";

/** Converts an error to the record that a caller receives. */
export function toFailureRecord(
  error: KelpsparError,
  options: {
    readonly requestId?: string;
    readonly elsewhere?: readonly string[];
  } = {},
): FailureRecord {
  const row = RESULT_CODES[error.result];
  return {
    type: "failure",
    code: row.number,
    result: error.result,
    outcome: error.outcome,
    retry: row.retry,
    message: error.message,
    ...(error.retryAfterMilliseconds === undefined
      ? {}
      : { retryAfterMilliseconds: Math.ceil(error.retryAfterMilliseconds) }),
    ...options,
  };
}
