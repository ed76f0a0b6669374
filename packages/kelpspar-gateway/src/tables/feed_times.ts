/** Timing of the calls of a feed. */
export interface FeedTimes {
  /** How long a call waits for a change, milliseconds. */
  readonly waitMilliseconds: number;
  /** Timeout beyond that wait, ms; the store client's default if absent. */
  readonly callTimeoutMilliseconds?: number;
  /** Least time between the starts of two calls, milliseconds. */
  readonly pollIntervalMilliseconds: number;
  /**
   * Longest time between two answers: a call that starts late waits less. By
   * default each call waits in full.
   */
  readonly maximumAnswerIntervalMilliseconds?: number;
  /**
   * Timeout of the first call after one that timed out. It is short, because
   * the call is answered at once unless its new connection went silent too;
   * another call follows at once. By default there is no such call.
   */
  readonly retryTimeoutMilliseconds?: number;
  /** Range of the delay after a failed call, milliseconds. */
  readonly minimumRetryDelayMilliseconds?: number;
  readonly maximumRetryDelayMilliseconds: number;
}
