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
}
