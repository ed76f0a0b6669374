import type { EndpointLoads } from "./endpoint_loads.ts";
import type { LoadReport } from "kelpspar-shared";

/**
 * A load report that is sent in full, because more than its counters changed.
 */
export interface RelayedReport {
  readonly endpointId: string;
  readonly report: LoadReport;
  /** Age when the digest was sent, milliseconds. */
  readonly ageMilliseconds: number;
}

/** Usage of client accounts at one daemon, in columns. */
export interface AccountUsage {
  readonly accountIds: readonly string[];
  /**
   * Cumulative costs since the incarnation started, as charged by the
   * scheduler.
   */
  readonly costs: readonly number[];
}

/**
 * State that a daemon sends to its peers periodically, and immediately when it
 * starts leaving or suspects an endpoint.
 */
export interface DaemonDigest {
  readonly daemonId: string;
  /** Changes when the daemon process restarts. */
  readonly incarnation: string;
  /** Increases with each digest of an incarnation. */
  readonly sequence: number;
  readonly address: string;
  /** Port for callers. */
  readonly port: number;
  /** Port for other daemons. */
  readonly peerPort: number;
  readonly availabilityZone: string;
  readonly state: "serving" | "leaving";
  /** Epoch for new keys bound to this daemon. */
  readonly keyEpoch: number;
  /** Configuration revision in force at this daemon. */
  readonly revision: number;
  /** Free share of the daemon's capacity, 0 to 1. */
  readonly spareShare: number;
  /** Loads of the endpoints that the daemon monitors and publishes. */
  readonly loads: EndpointLoads;
  readonly changedReports: readonly RelayedReport[];
  /**
   * Endpoints that the daemon ejected or suspects; receivers probe them on
   * their own.
   */
  readonly suspectEndpoints: readonly string[];
  readonly usage: AccountUsage;
}
