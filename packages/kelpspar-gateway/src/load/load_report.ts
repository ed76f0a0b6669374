/** Load that an endpoint reported with a response. */
export interface LoadReport {
  /** Requests in progress. */
  readonly running: number;
  /** Requests in the endpoint's queue. */
  readonly waiting: number;
  /** Requests that the endpoint runs concurrently; at least 1. */
  readonly slots: number;
  /**
   * Current service time relative to the normal one of its machine, 1 being
   * normal; undefined for endpoints that don't report it.
   */
  readonly slowdown: number | undefined;
}

/** A load report and the monotonic time at which it was received. */
export interface ReceivedLoadReport extends LoadReport {
  readonly at: number;
}
