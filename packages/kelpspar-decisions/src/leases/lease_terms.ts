/** The times that a lease rests on, all in milliseconds. */
export interface LeaseTerms {
  /** How long a holder may act without renewal; default 10,000. */
  readonly leaseMilliseconds: number;
  /** After this time an order is given up on its way; default 1,500. */
  readonly longestOrderMilliseconds: number;
  /** How far two clocks may part in a lease and an order; default 500. */
  readonly driftMilliseconds: number;
  /** How long between two looks at the row; default 2,000. */
  readonly pollMilliseconds: number;
  /** A gap between ticks that counts as a pause; default 1,000. */
  readonly pauseMilliseconds: number;
  /**
   * True when some endpoint of the group ignores fencing numbers, or when that
   * is not known; default true.
   */
  readonly hasUncheckedEndpoints: boolean;
}

/** The terms that hold unless the settings say otherwise. */
export const DEFAULT_LEASE_TERMS: LeaseTerms = {
  leaseMilliseconds: 10_000,
  longestOrderMilliseconds: 1_500,
  driftMilliseconds: 500,
  pollMilliseconds: 2_000,
  pauseMilliseconds: 1_000,
  hasUncheckedEndpoints: true,
};
