/** Timing parameters of a lease, in milliseconds. */
export interface LeaseTerms {
  /** Lease duration without renewal; default 10,000. */
  readonly leaseMilliseconds: number;
  /**
   * Maximum transit time of an order, after which it is aborted; default 1,500.
   */
  readonly longestOrderMilliseconds: number;
  /**
   * Maximum drift between two clocks over a lease and an order; default 500.
   */
  readonly driftMilliseconds: number;
  /** Interval between reads of the row; default 2,000. */
  readonly pollMilliseconds: number;
  /** A longer gap between ticks counts as a pause; default 1,000. */
  readonly pauseMilliseconds: number;
  /**
   * True if an endpoint of the group ignores fencing numbers or if this is
   * unknown; default true.
   */
  readonly hasUncheckedEndpoints: boolean;
}

/** Default lease terms. */
export const DEFAULT_LEASE_TERMS: LeaseTerms = {
  leaseMilliseconds: 10_000,
  longestOrderMilliseconds: 1_500,
  driftMilliseconds: 500,
  pollMilliseconds: 2_000,
  pauseMilliseconds: 1_000,
  hasUncheckedEndpoints: true,
};
