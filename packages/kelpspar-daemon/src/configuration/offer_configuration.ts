import type { ConfigurationRow } from "./configuration_row.ts";
import type { DaemonState } from "../state/daemon_state.ts";
import type { StateStore } from "../state/state_store.ts";
import { parseConfiguration } from "kelpspar-configuration";

/**
 * Puts a configuration in force if it is newer. What goes wrong otherwise: a
 * daemon that was paused, or a peer that lags, brings an old revision after a
 * new one, and an accepted change reverts. So only a higher revision counts,
 * whoever brings it. Returns true when it was put in force.
 *
 * Source: the brief, "What must always hold": an accepted configuration never
 * reverts.
 */
export function offerConfiguration(
  state: StateStore<DaemonState>,
  row: ConfigurationRow,
): boolean {
  const known = state.read().configurationRow?.revision ?? 0;
  if (row.revision <= known) return false;
  const parsed = parseConfiguration(row.configuration);
  if (!parsed.ok) return false;
  state.update(() => ({
    configurationRow: row,
    configuration: parsed.configuration,
  }));
  return true;
}
