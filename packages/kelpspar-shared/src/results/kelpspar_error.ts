import type { Outcome } from "./outcome.ts";
import type { ResultName } from "./result_codes.ts";
import ModernError from "modern-errors";
import { RESULT_CODES } from "./result_codes.ts";

const BaseError = ModernError.subclass("BaseError");

/** Details of a failure besides its name and message. */
export interface KelpsparErrorOptions {
  /** Overrides the table's outcome if the failure proves another one. */
  readonly outcome?: Outcome;
  /** When a caller may retry, in milliseconds from now. */
  readonly retryAfterMilliseconds?: number;
  /** The error that caused this one. */
  readonly cause?: unknown;
}

class NumberedError extends BaseError {
  /** The name of the result code. */
  readonly result: ResultName;
  /** The number of the result code. */
  readonly code: number;
  readonly outcome: Outcome;
  readonly retryAfterMilliseconds: number | undefined;

  constructor(
    result: ResultName,
    message: string,
    options: KelpsparErrorOptions = {},
  ) {
    super(message);
    this.result = result;
    this.code = RESULT_CODES[result].number;
    this.outcome = options.outcome ?? RESULT_CODES[result].outcome;
    this.retryAfterMilliseconds = options.retryAfterMilliseconds;
    if (options.cause === undefined) return;
    // Given a cause of its own class, the library modifies and returns the
    // cause, so that the wrapping error would lose its result code.
    Object.defineProperty(this, "cause", {
      value: options.cause,
      configurable: true,
      writable: true,
    });
  }
}

/**
 * The only error type of the product: a numbered result code with a message
 * that says what was tried and why it failed.
 */
// The library's types allow only constructors whose first parameter is the
// message.
export const KelpsparError = BaseError.subclass("KelpsparError", {
  custom: NumberedError as unknown as typeof BaseError,
}) as unknown as typeof NumberedError;

/** An error of the product. */
export type KelpsparError = NumberedError;
