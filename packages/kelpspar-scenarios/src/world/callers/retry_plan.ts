/** What a caller does when it has no whole answer. */
export interface RetryPlan {
  /** Tries another daemon after so long without a final record. */
  readonly silenceMilliseconds?: number;
  /** Tries another daemon when its connection breaks. */
  readonly onBrokenConnection: boolean;
  /** Comes back as a refusal's advice says. */
  readonly onRefusal: boolean;
  /** Sends the same request to the same daemon again. */
  readonly atSameDaemon: boolean;
  /** Sends the second copy at the same moment as the first. */
  readonly atOnce: boolean;
  /** Keeps reading the first answer while it asks elsewhere. */
  readonly keepsFirst: boolean;
  /** Asks another daemon for the same, so long after a whole answer. */
  readonly askAgainMilliseconds?: number;
  readonly mostAttempts: number;
}

/** A caller that sends once and waits. */
export const NO_RETRIES: RetryPlan = {
  onBrokenConnection: false,
  onRefusal: false,
  atSameDaemon: false,
  atOnce: false,
  keepsFirst: false,
  mostAttempts: 1,
};

/** A caller that does what the records advise it. */
export const PATIENT_RETRIES: RetryPlan = {
  ...NO_RETRIES,
  onBrokenConnection: true,
  onRefusal: true,
  mostAttempts: 5,
};
