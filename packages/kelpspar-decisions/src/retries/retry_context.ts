import type { Outcome, ResultName } from "kelpspar-shared";

/** A failed attempt of a stage and its circumstances. */
export interface RetryContext {
  readonly result: ResultName;
  /** From the endpoint's failure record; absent without a record. */
  readonly started?: boolean;
  /** `once` for a stage with external side effects. */
  readonly effect: "none" | "once";
  /** True when another attempt of this stage may have reached an endpoint. */
  readonly earlierAttemptMayHaveRun: boolean;
  /** Length of the stage's result received so far, UTF-16 code units. */
  readonly receivedLength: number;
  /** Length of the part delivered to the caller, UTF-16 code units. */
  readonly deliveredLength: number;
  readonly remainingMilliseconds: number;
  /** Minimum time for another run and the later stages, milliseconds. */
  readonly minimumMilliseconds: number;
  /** Attempts sent for this stage, including the failed one. */
  readonly attempts: number;
  /** How often the failed attempt was resumed. */
  readonly resumes: number;
  /** `RetryBudget.allows`. */
  readonly budgetAllows: boolean;
  /** Ready endpoints other than those that failed the stage. */
  readonly otherEndpoints: number;
  /** True when the endpoint keeps attempts alive after a broken connection. */
  readonly canResume: boolean;
  /** True when other endpoints can continue from a partial text. */
  readonly canContinue: boolean;
  /** The request's outcome before this stage. */
  readonly outcomeBefore: Outcome;
}
