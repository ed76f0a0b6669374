import type { Configuration } from "kelpspar-configuration";
import type { ListedVm } from "kelpspar-backends";
import type { ConfigurationRow } from "../configuration/configuration_row.ts";
import type { Drains } from "../operators/drains.ts";
import { NO_DRAINS } from "../operators/drains.ts";

/** The shared state of a daemon, as one immutable snapshot. */
export interface DaemonState {
  /** The active configuration as stored; undefined before the first. */
  readonly configurationRow: ConfigurationRow | undefined;
  /** The parsed configuration of `configurationRow`. */
  readonly configuration: Configuration | undefined;
  /** The VM list as last polled; it may be stale. */
  readonly vms: readonly ListedVm[];
  /** Endpoints and daemons drained by operators. */
  readonly drains: Drains;
  /** Engines taken out of routing for a pending order. */
  readonly takenOut: Drains;
  /** True once the daemon is stopping and refuses new requests. */
  readonly isLeaving: boolean;
}

/** The initial state of a daemon. */
export function createDaemonState(): DaemonState {
  return {
    configurationRow: undefined,
    configuration: undefined,
    vms: [],
    drains: NO_DRAINS,
    takenOut: NO_DRAINS,
    isLeaving: false,
  };
}
