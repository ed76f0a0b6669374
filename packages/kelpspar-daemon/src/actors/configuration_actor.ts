import type { TableService } from "kelpspar-backends";
import type { DrainStore } from "../operators/drain_store.ts";
import type { ConfigurationKeeper } from "../configuration/configuration_manager.ts";
import type { ConfigurationStore } from "../configuration/configuration_store.ts";
import type { ConfigurationRow } from "../configuration/configuration_row.ts";
import type { RoleOptions } from "./actor_options.ts";
import { takeDrains } from "../operators/apply_newer_drains.ts";
import { errorDetails } from "../log/daemon_log.ts";
import { registerJitteredInterval } from "./register_jittered_interval.ts";
import { spawnRole } from "./spawn_actor.ts";

/** What the role that follows the configuration works on. */
export interface ConfigurationRoleOptions extends RoleOptions {
  readonly table: TableService;
  readonly store: ConfigurationStore;
  readonly drains: DrainStore;
  readonly takenOut: DrainStore;
  readonly keeper: ConfigurationKeeper;
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
  const { keeper } = options;
  const send = spawnRole<null, ConfigurationCommand>(options.system, {
    name: "configuration",
    initialState: null,
    handlers: {
      poll: async () => {
        const { store, drains, takenOut } = options;
        const known = keeper.revision;
        const [next = null, drained = null, out = null] = await options
          .table.read([store.keyAfter(known), drains.key, takenOut.key]);
        takeDrains(options.state, {
          drains: drains.parse(drained),
          takenOut: takenOut.parse(out),
        });
        if (next === null) return null;
        const stored = known === 0 ? store.parse(next) : await store.read();
        if (stored.row !== undefined) keeper.offer(stored.row, "table");
        return null;
      },
      offer: (_state, command) => {
        keeper.offer(command.row, "peer");
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
