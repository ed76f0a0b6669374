import type { Configuration } from "kelpspar-configuration";
import type { ListedVm } from "kelpspar-backends";
import type { ConfigurationRow } from "../configuration/configuration_row.ts";
import type { Drains } from "../operators/drains.ts";
import { NO_DRAINS } from "../operators/drains.ts";

/** What the whole daemon shares: one immutable snapshot. */
export interface DaemonState {
  /** The configuration in force, as stored; undefined until the first. */
  readonly configurationRow: ConfigurationRow | undefined;
  /** The same, checked; always of `configurationRow`. */
  readonly configuration: Configuration | undefined;
  /** The VM list as last seen, which lags. */
  readonly vms: readonly ListedVm[];
  /** What operators drain. */
  readonly drains: Drains;
  /** Engines that are out of routing because an order is due. */
  readonly takenOut: Drains;
  /** True once the daemon is to stop: it takes no new requests. */
  readonly isLeaving: boolean;
}

/** The state of a daemon that just started. */
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
