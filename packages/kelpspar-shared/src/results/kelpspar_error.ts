import type { Outcome } from "./outcome.ts";
import type { ResultName } from "./result_codes.ts";
import ModernError from "modern-errors";
import { RESULT_CODES } from "./result_codes.ts";

const BaseError = ModernError.subclass("BaseError");

/** What is known about a failure beyond its name and message. */
export interface KelpsparErrorOptions {
  /** Overrides the table's outcome where the failure proves another one. */
  readonly outcome?: Outcome;
  /** When a caller may come back, in milliseconds from now. */
  readonly retryAfterMilliseconds?: number;
  /** The error that led to this one. */
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
    // The library takes a cause of its own class for the error itself and
    // changes it; a wrapped failure would then lose its result code.
    Object.defineProperty(this, "cause", {
      value: options.cause,
      configurable: true,
      writable: true,
    });
  }
}

/**
 * The one error type of the product: a numbered result with a message that
 * says what was tried and why it failed.
 */
// The library's types know only constructors that take the message first.
export const KelpsparError = BaseError.subclass("KelpsparError", {
  custom: NumberedError as unknown as typeof BaseError,
}) as unknown as typeof NumberedError;

/** An error of the product. */
export type KelpsparError = NumberedError;
