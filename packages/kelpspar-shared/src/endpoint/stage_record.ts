/** Says which call a record answers; checked before a record is used. */
export interface StageRecordIds {
  readonly requestId: string;
  readonly stageId: string;
  readonly attemptId: string;
}

/** A piece of a stage's result. */
export interface StageChunkRecord extends StageRecordIds {
  readonly type: "chunk";
  /** Where the piece starts, in UTF-16 units. */
  readonly offset: number;
  readonly text: string;
}

/** The last record of a whole result. */
export interface StageEndRecord extends StageRecordIds {
  readonly type: "end";
  readonly length: number;
  /** Time the endpoint spent on the call, milliseconds. */
  readonly runnerMilliseconds: number;
  readonly tokensIn: number;
  readonly tokensOut: number;
}

/** The last record of a call that failed at the endpoint. */
export interface StageFailureRecord extends StageRecordIds {
  readonly type: "failure";
  /** False only when the endpoint vouches that it did not start the call. */
  readonly started: boolean;
  readonly reason: StageFailureReason;
  readonly retryAfterMilliseconds?: number;
}

/** Why an endpoint failed a call. */
export type StageFailureReason =
  | "overloaded"
  | "leaving"
  | "failed"
  | "cancelled"
  | "unknown_attempt"
  | "wrong_model";

/** One line of a call's answer (newline-delimited JSON). */
export type StageRecord =
  | StageChunkRecord
  | StageEndRecord
  | StageFailureRecord;
