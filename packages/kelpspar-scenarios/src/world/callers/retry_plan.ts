/** What a caller does when it has no whole answer. */
export interface RetryPlan {
  /** Tries another daemon after so long without a final record. */
  readonly silenceMilliseconds?: number;
  /** Tries another daemon when its connection breaks. */
  readonly retriesBrokenConnection: boolean;
  /** Comes back as a refusal's advice says. */
  readonly retriesRefusal: boolean;
  /** Sends the same request to the same daemon again. */
  readonly usesSameDaemon: boolean;
  /** Sends the second copy at the same moment as the first. */
  readonly sendsTwoAtOnce: boolean;
  /** Keeps reading the first answer while it asks elsewhere. */
  readonly keepsFirstAttempt: boolean;
  /** Asks another daemon for the same, so long after a whole answer. */
  readonly repeatAfterMilliseconds?: number;
  readonly maximumAttempts: number;
}

/** A caller that sends once and waits. */
export const NO_RETRIES: RetryPlan = {
  retriesBrokenConnection: false,
  retriesRefusal: false,
  usesSameDaemon: false,
  sendsTwoAtOnce: false,
  keepsFirstAttempt: false,
  maximumAttempts: 1,
};

/** A caller that does what the records advise it. */
export const PATIENT_RETRIES: RetryPlan = {
  ...NO_RETRIES,
  retriesBrokenConnection: true,
  retriesRefusal: true,
  maximumAttempts: 5,
};
