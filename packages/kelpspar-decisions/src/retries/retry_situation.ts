import type { Outcome, ResultName } from "kelpspar-shared";

/** A failed attempt of a stage, and what is known around it. */
export interface RetrySituation {
  readonly result: ResultName;
  /** What the endpoint's own failure record says; absent without a record. */
  readonly started?: boolean;
  /** `once` for a stage that acts on the world. */
  readonly effect: "none" | "once";
  /** True when another attempt of this stage may have reached an endpoint. */
  readonly earlierAttemptMayHaveRun: boolean;
  /** Length of the stage's result received, from its start, UTF-16 units. */
  readonly receivedLength: number;
  /** How much of it has gone on to the caller. */
  readonly deliveredLength: number;
  readonly remainingMilliseconds: number;
  /** The least time that another run and the later stages take. */
  readonly minimumMilliseconds: number;
  /** Attempts sent for this stage, the failed one included. */
  readonly attempts: number;
  /** How often the failed attempt was resumed. */
  readonly resumes: number;
  /** `RetryBudget.allows`. */
  readonly budgetAllows: boolean;
  /** Endpoints ready for the stage beside those that failed it. */
  readonly otherEndpoints: number;
  /** True when the endpoint keeps attempts whose connection broke. */
  readonly canResume: boolean;
  /** True when other endpoints go on after a partial text. */
  readonly canContinue: boolean;
  /** What is known of the request as it stood before this stage. */
  readonly outcomeBefore: Outcome;
}
