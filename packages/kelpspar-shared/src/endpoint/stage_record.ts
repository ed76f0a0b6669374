/** Identifies the call of a record; checked before a record is used. */
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

/** The last record of a complete result. */
export interface StageEndRecord extends StageRecordIds {
  readonly type: "end";
  readonly length: number;
  /** Time the endpoint spent on the call, in milliseconds. */
  readonly runnerMilliseconds: number;
  readonly tokensIn: number;
  readonly tokensOut: number;
}

/** The last record of a call that failed at the endpoint. */
export interface StageFailureRecord extends StageRecordIds {
  readonly type: "failure";
  /** False only if the endpoint guarantees that it did not start the call. */
  readonly started: boolean;
  readonly reason: StageFailureReason;
  readonly retryAfterMilliseconds?: number;
}

/** The reason that an endpoint gives for a failed call. */
export type StageFailureReason =
  | "overloaded"
  | "leaving"
  | "failed"
  | "cancelled"
  | "unknown_attempt"
  | "wrong_model";

/** One line of a call's response stream (newline-delimited JSON). */
export type StageRecord =
  | StageChunkRecord
  | StageEndRecord
  | StageFailureRecord;
