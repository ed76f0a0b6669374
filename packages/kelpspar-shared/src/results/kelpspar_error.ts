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

/**
 * The one error type of the product: a numbered result with a message that
 * says what was tried and why it failed.
 */
export class KelpsparError extends BaseError {
  /** The name of the result code. */
  readonly result: ResultName;
  readonly outcome: Outcome;
  readonly retryAfterMilliseconds: number | undefined;

  constructor(
    result: ResultName,
    message: string,
    options: KelpsparErrorOptions = {},
  ) {
    super(message, options.cause === undefined ? {} : { cause: options.cause });
    this.result = result;
    this.outcome = options.outcome ?? RESULT_CODES[result].outcome;
    this.retryAfterMilliseconds = options.retryAfterMilliseconds;
  }

  /** The number of the result code. */
  get code(): number {
    return RESULT_CODES[this.result].number;
  }
}
