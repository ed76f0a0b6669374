import type { TableService } from "kelpspar-backends";
import type { DrainStore } from "../operators/drain_store.ts";
import type { ConfigurationManager } from "../configuration/configuration_manager.ts";
import type { ConfigurationStore } from "../configuration/configuration_store.ts";
import type { ConfigurationRow } from "../configuration/configuration_row.ts";
import type { ActorOptions } from "./actor_options.ts";
import { applyNewerDrains } from "../operators/apply_newer_drains.ts";
import { errorDetails } from "../log/daemon_log.ts";
import { registerJitteredInterval } from "./register_jittered_interval.ts";
import { spawnActor } from "./spawn_actor.ts";

/** Dependencies of the configuration actor. */
export interface ConfigurationActorOptions extends ActorOptions {
  readonly table: TableService;
  readonly store: ConfigurationStore;
  readonly drains: DrainStore;
  readonly takenOut: DrainStore;
  readonly manager: ConfigurationManager;
  readonly pollMilliseconds: number;
}

/** Commands of the configuration actor. */
export type ConfigurationCommand =
  | { readonly type: "poll" }
  | { readonly type: "offer"; readonly row: ConfigurationRow };

/** A running configuration actor. */
export interface ConfigurationActor {
  readonly offer: (row: ConfigurationRow) => void;
  readonly stop: () => void;
}

/**
 * Keeps the daemon on the newest accepted configuration: polls the table and
 * accepts revisions from peers and operators, so that an outage of one source
 * does not delay a revision.
 */
export function startConfigurationActor(
  options: ConfigurationActorOptions,
): ConfigurationActor {
  const { manager } = options;
  const send = spawnActor<null, ConfigurationCommand>(options.system, {
    name: "configuration",
    initialState: null,
    handlers: {
      poll: async () => {
        const { store, drains, takenOut } = options;
        const currentRevision = manager.revision;
        const [next = null, drainsRow = null, takenOutRow = null] =
          await options
            .table.read([
              store.pollKey(currentRevision),
              drains.key,
              takenOut.key,
            ]);
        applyNewerDrains(options.state, {
          drains: drains.parse(drainsRow),
          takenOut: takenOut.parse(takenOutRow),
        });
        if (next === null) return null;
        const stored = currentRevision === 0
          ? store.parse(next)
          : await store.read();
        if (stored.row !== undefined) manager.offer(stored.row, "table");
        return null;
      },
      offer: (_state, command) => {
        manager.offer(command.row, "peer");
        return null;
      },
    },
    onError: (name, error) =>
      options.log.warn(`${name} actor failed`, errorDetails(error)),
  });
  const stop = registerJitteredInterval(() => send({ type: "poll" }), {
    timer: options.timer,
    random: options.random,
    milliseconds: options.pollMilliseconds,
  });
  send({ type: "poll" });
  return { offer: (row) => send({ type: "offer", row }), stop };
}
