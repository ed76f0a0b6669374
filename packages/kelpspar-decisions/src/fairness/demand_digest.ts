/** Demand of one client account for one service. */
export interface AccountDemand {
  readonly accountId: string;
  /**
   * Slots the account could fill now: its queued and running calls. This counts
   * calls and not their cost, because a call fills one slot regardless of its
   * duration, and the cost of a slot is the time it is held.
   */
  readonly demand: number;
  /** Recent cost of its calls, runner-milliseconds per second. */
  readonly usageRate: number;
}

/** Demand for one service. */
export interface ServiceDemand {
  readonly serviceId: string;
  /**
   * Concurrent calls of the service, according to the sender's view of its
   * endpoints.
   */
  readonly capacitySeen: number;
  /** Accounts with demand, sorted by id. */
  readonly accounts: readonly AccountDemand[];
}

/** Demand of one or more daemons for the shared services. */
export interface DemandSummary {
  /** Number of daemons included. */
  readonly daemons: number;
  /** Sorted by id. */
  readonly services: readonly ServiceDemand[];
}

/**
 * Demand that a daemon publishes to the others, or (`scope: "zone"`) the merged
 * demand of an availability zone that one daemon publishes to other zones.
 *
 * Size as JSON, bytes: 1,810 for 5 accounts at each of 5 services; 1,084 for
 * the 12 rows of a daemon with 12 calls; 20,095 for the 355 rows of 34 such
 * daemons merged. A row (an account at a service) takes about 56.
 */
export interface DemandDigest extends DemandSummary {
  readonly scope: "daemon" | "zone";
  /** Incarnation of the sender. */
  readonly incarnation: string;
  /** Increases with each digest of an incarnation and scope. */
  readonly sequence: number;
  readonly availabilityZone: string;
}
