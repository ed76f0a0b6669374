import type { TableRow, TableService } from "kelpspar-platform";
import type { DrainStore } from "../operators/drain_store.ts";
import type { ConfigurationStore } from "../configuration/configuration_store.ts";
import type { ConfigurationRow } from "../configuration/configuration_row.ts";
import type { RoleOptions } from "./role_options.ts";
import { offerConfiguration } from "../configuration/offer_configuration.ts";
import { errorDetails } from "../log/daemon_log.ts";
import { registerJitteredInterval } from "./register_jittered_interval.ts";
import { spawnRole } from "./spawn_role.ts";

/** What the role that follows the configuration works on. */
export interface ConfigurationRoleOptions extends RoleOptions {
  readonly table: TableService;
  readonly store: ConfigurationStore;
  readonly drains: DrainStore;
  readonly pollMilliseconds: number;
}

/** Commands of the role that follows the configuration. */
export type ConfigurationCommand =
  | { readonly type: "poll" }
  | { readonly type: "offer"; readonly row: ConfigurationRow };

/** A running role. */
export interface ConfigurationRole {
  readonly offer: (row: ConfigurationRow) => void;
  readonly stop: () => void;
}

/**
 * Follows the accepted configuration: polls the table, and takes what peers
 * and operators bring, so that neither's outage holds a revision up.
 */
export function startConfigurationRole(
  options: ConfigurationRoleOptions,
): ConfigurationRole {
  const offer = (row: ConfigurationRow): void => {
    if (!offerConfiguration(options.state, row)) return;
    options.log.info("Configuration in force", { revision: row.revision });
  };
  const send = spawnRole<null, ConfigurationCommand>(options.system, {
    name: "configuration",
    initialState: null,
    handlers: {
      poll: async () => {
        const { store, drains } = options;
        const [current = null, drained = null] = await options.table.read([
          store.key,
          drains.key,
        ]);
        takeDrains(options, drained);
        const stored = store.parse(current);
        if (stored.row !== undefined) offer(stored.row);
        return null;
      },
      offer: (_state, command) => {
        offer(command.row);
        return null;
      },
    },
    onError: (name, error) =>
      options.log.warn(`Role ${name} failed`, errorDetails(error)),
  });
  const stop = registerJitteredInterval(() => send({ type: "poll" }), {
    timer: options.timer,
    random: options.random,
    milliseconds: options.pollMilliseconds,
  });
  send({ type: "poll" });
  return { offer: (row) => send({ type: "offer", row }), stop };
}

function takeDrains(
  options: ConfigurationRoleOptions,
  row: TableRow | null,
): void {
  const drains = options.drains.parse(row);
  const known = options.state.read().drains;
  if (JSON.stringify(drains) === JSON.stringify(known)) return;
  options.state.update(() => ({ drains }));
}
