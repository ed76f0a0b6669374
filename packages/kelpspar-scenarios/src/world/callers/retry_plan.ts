/** The retry policy of a caller. */
export interface RetryPlan {
  /** Retries after this time without a final record; default: never. */
  readonly silenceMilliseconds?: number;
  /** Retries if the connection breaks. */
  readonly retriesBrokenConnection: boolean;
  /** Retries a refusal as its record advises. */
  readonly retriesRefusal: boolean;
  /** Retries at the same daemon instead of another one. */
  readonly usesSameDaemon: boolean;
  /** Sends two copies of the request at the same time. */
  readonly sendsTwoAtOnce: boolean;
  /** Keeps reading the first answer after the timeout. */
  readonly keepsFirstAttempt: boolean;
  /** Repeats the request this long after a whole answer; default: never. */
  readonly repeatAfterMilliseconds?: number;
  readonly maximumAttempts: number;
}

/** Sends the request once and waits. */
export const NO_RETRIES: RetryPlan = {
  retriesBrokenConnection: false,
  retriesRefusal: false,
  usesSameDaemon: false,
  sendsTwoAtOnce: false,
  keepsFirstAttempt: false,
  maximumAttempts: 1,
};

/** Retries as the records advise. */
export const PATIENT_RETRIES: RetryPlan = {
  ...NO_RETRIES,
  retriesBrokenConnection: true,
  retriesRefusal: true,
  maximumAttempts: 5,
};
