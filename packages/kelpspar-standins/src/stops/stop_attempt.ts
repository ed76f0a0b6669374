/** One attempt of a caller; times are monotonic milliseconds. */
export interface StopAttempt {
  readonly attemptId: string;
  /** Front of the daemon that it was sent to. */
  readonly address: string;
  readonly sentAt: number;
  readonly endedAt: number;
  /** Undefined without a response. */
  readonly status: number | undefined;
  /** Whether the whole response arrived. */
  readonly isWhole: boolean;
  /** Code of the error that ended it, if one did. */
  readonly error: string | undefined;
  readonly retryAfterMilliseconds: number | undefined;
}

/** A planned stop of one daemon; times are monotonic milliseconds. */
export interface PlannedStop {
  /** Front of the daemon. */
  readonly address: string;
  readonly signalledAt: number;
  /** Undefined while the process runs. */
  endedAt: number | undefined;
  wasKilled: boolean;
}
