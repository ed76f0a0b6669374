/** A call of one stage at one endpoint: the body of `POST /v1/calls`. */
export interface StageCall {
  readonly requestId: string;
  readonly stageId: string;
  /** Unique for each call sent, so that a late result can be recognized. */
  readonly attemptId: string;
  readonly accountId: string;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Time left for this call, in milliseconds from its arrival. */
  readonly remainingMilliseconds: number;
  /** The stage's input text: the previous stage's result. */
  readonly input: string;
  /** Model and adapter, for model engines. */
  readonly model?: string;
  readonly adapter?: string;
  /** Identifies the prompt's shared prefix, for prefix caches. */
  readonly prefixHash?: string;
  /** The first offset to send when a stream is resumed; default 0. */
  readonly resumeOffset?: number;
  /**
   * The attempt at the same endpoint whose stream is resumed. Absent when
   * another endpoint continues after `partialText`.
   */
  readonly resumeAttemptId?: string;
  /** The text up to `resumeOffset`, for an endpoint that continues it. */
  readonly partialText?: string;
}
