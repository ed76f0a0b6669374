/** A request that was at an endpoint when that endpoint crashed. */
export interface CrashReport {
  /** Identifies the request across its attempts. */
  readonly fingerprint: string;
  /** Identifies the crash: the incarnation of the endpoint that it ended. */
  readonly crash: string;
  /**
   * Time from the start of the request's answer to the crash, milliseconds;
   * undefined if no part of the answer had arrived.
   */
  readonly ranMilliseconds: number | undefined;
  /**
   * Time from the first event of the answer to the crash, milliseconds;
   * undefined if no event had arrived.
   */
  readonly wroteMilliseconds?: number | undefined;
  /**
   * Time from the send of the request to the crash, milliseconds, if no part of
   * the answer had arrived.
   */
  readonly waitedMilliseconds?: number | undefined;
  /** Ids of the prompt's parts that other requests may share. */
  readonly parts?: readonly string[];
  /**
   * Those of `parts` that were common in the sound answers of the daemon that saw
   * the crash.
   */
  readonly commonParts?: readonly string[];
  /** Those of `parts` that endpoints answered on before, as that daemon knows. */
  readonly soundParts?: readonly string[];
  /** Service and software version of the endpoint. */
  readonly software?: string;
}

/** A crash report and when the crash was seen, monotonic milliseconds. */
export interface TimedCrashReport extends CrashReport {
  readonly at: number;
}
