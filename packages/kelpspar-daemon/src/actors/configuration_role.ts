import type { ConfigurationStore } from "../configuration/configuration_store.ts";
import type { ConfigurationRow } from "../configuration/configuration_row.ts";
import type { RoleOptions } from "./role_options.ts";
import { offerConfiguration } from "../configuration/offer_configuration.ts";
import { errorDetails } from "../log/daemon_log.ts";
import { registerJitteredInterval } from "./register_jittered_interval.ts";
import { spawnRole } from "./spawn_role.ts";

/** What the role that follows the configuration works on. */
export interface ConfigurationRoleOptions extends RoleOptions {
  readonly store: ConfigurationStore;
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
        const stored = await options.store.read();
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
