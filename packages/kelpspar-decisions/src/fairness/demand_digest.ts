/** What one client account asks of one service. */
export interface AccountDemand {
  readonly accountId: string;
  /**
   * Slots the account could fill now: its calls that wait or run. Calls are
   * counted here, not their cost, since a call fills one slot however long it
   * takes, and the cost of a slot is the time it is held.
   */
  readonly demand: number;
  /** What its calls cost lately, runner-milliseconds a second. */
  readonly usageRate: number;
}

/** What is asked of one service. */
export interface ServiceDemand {
  readonly serviceId: string;
  /** Calls the service runs at a time, as the sender sees its endpoints. */
  readonly capacitySeen: number;
  /** Accounts that ask for something, in the order of their ids. */
  readonly accounts: readonly AccountDemand[];
}

/** What one or several daemons ask of the services they share. */
export interface DemandSummary {
  /** Daemons whose demand this is. */
  readonly daemons: number;
  /** In the order of their ids. */
  readonly services: readonly ServiceDemand[];
}

/**
 * What a daemon tells the others of its demand, or (`scope: "zone"`) what one
 * daemon merged of its availability zone and tells the other zones.
 *
 * Bytes as JSON, measured: 1,810 for 5 accounts at each of 5 services; 1,084
 * for the 12 rows of a daemon with 12 calls; 20,095 for the 355 rows of 34
 * such daemons merged. A row (an account at a service) takes about 56.
 */
export interface DemandDigest extends DemandSummary {
  readonly scope: "daemon" | "zone";
  /** The sender's incarnation. */
  readonly incarnation: string;
  /** Grows with each digest of an incarnation and scope. */
  readonly sequence: number;
  readonly availabilityZone: string;
}
