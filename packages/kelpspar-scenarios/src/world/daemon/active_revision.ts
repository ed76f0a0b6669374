/** A configuration revision that became active at a daemon. */
export interface ActiveRevision {
  readonly revision: number;
  /** Monotonic milliseconds. */
  readonly at: number;
}
