import type { EndpointLoads } from "./endpoint_loads.ts";
import type { LoadReport } from "kelpspar-shared";

/** A load report that travels whole, since more than its counts changed. */
export interface RelayedReport {
  readonly endpointId: string;
  readonly report: LoadReport;
  /** Its age when the digest was sent, milliseconds. */
  readonly ageMilliseconds: number;
}

/** What client accounts used at one daemon, column by column. */
export interface AccountUsage {
  readonly accountIds: readonly string[];
  /** Costs since the incarnation began, as charged by the scheduler. */
  readonly costs: readonly number[];
}

/**
 * What a daemon tells its peers of itself, at intervals, and at once when it
 * begins to leave or suspects an endpoint.
 */
export interface DaemonDigest {
  readonly daemonId: string;
  /** Changes when the daemon's process starts anew. */
  readonly incarnation: string;
  /** Grows with each digest of an incarnation. */
  readonly sequence: number;
  readonly address: string;
  /** Where callers connect. */
  readonly port: number;
  /** Where daemons connect. */
  readonly peerPort: number;
  readonly availabilityZone: string;
  readonly state: "serving" | "leaving";
  /** The epoch to put into keys bound to this daemon. */
  readonly keyEpoch: number;
  /** The configuration revision in force here. */
  readonly revision: number;
  /** Share of its capacity that is free, 0 to 1. */
  readonly spareShare: number;
  /** Loads of the endpoints that it watches and publishes. */
  readonly loads: EndpointLoads;
  readonly changedReports: readonly RelayedReport[];
  /** Endpoints that it ejected or suspects; receivers probe for themselves. */
  readonly suspectEndpoints: readonly string[];
  readonly usage: AccountUsage;
}
