import type { DaemonCore } from "./create_core.ts";
import type { DaemonPorts } from "./daemon_ports.ts";
import type { Settings } from "./settings/settings_schema.ts";
import type { ConfigurationRow } from "./configuration/configuration_row.ts";
import { parseHost } from "kelpspar-shared";
import { start, stop } from "nact";
import { startConfigurationRole } from "./actors/configuration_actor.ts";
import { startEndpointsRole } from "./actors/endpoints_actor.ts";
import { startFleetRole } from "./actors/fleet_actor.ts";
import { startVmListRole } from "./actors/vm_list_actor.ts";
import { startOrdersRole } from "./orders/start_engine_group_controllers.ts";
import { takeDrains } from "./operators/apply_newer_drains.ts";
import { mergeTeardowns } from "./state/merge_teardowns.ts";

/** What a daemon does by itself, beside answering. */
export interface DaemonRoles {
  /** Puts a configuration in force here if it is newer. */
  readonly offer: (row: ConfigurationRow) => void;
  /** Tells every peer at once. */
  readonly announce: () => Promise<void>;
  readonly stop: () => void;
}

/** Starts a daemon's roles as actors. */
export function startRoles(options: {
  readonly settings: Settings;
  readonly ports: DaemonPorts;
  readonly core: DaemonCore;
}): DaemonRoles {
  const { settings, ports, core } = options;
  const { intervals } = settings;
  const { state, configuration, fleet } = core;
  const { timer, random, log } = ports;
  const system = start();
  const roleOptions = { system, state, timer, random, log };
  const configurationRole = startConfigurationRole({
    ...roleOptions,
    table: ports.table,
    store: core.store,
    drains: core.drains,
    takenOut: core.takenOut,
    keeper: core.keeper,
    pollMilliseconds: intervals.configurationPollMilliseconds,
  });
  const stopList = state.registerListener((now, before) => {
    if (now.vms !== before.vms) fleet.replaceList();
  });
  const stopEndpoints = startEndpointsRole({
    ...roleOptions,
    watch: core.watch,
    loadPollMilliseconds: intervals.loadPollMilliseconds,
  });
  const stopVmList = startVmListRole({
    ...roleOptions,
    vmList: ports.vmList,
    pollMilliseconds: intervals.vmListPollMilliseconds,
  });
  const fleetRole = startFleetRole({
    ...roleOptions,
    fleet,
    peers: ports.peers,
    seeds: settings.seeds.map(parseHost),
    digestMilliseconds: intervals.digestMilliseconds,
    offer: configurationRole.offer,
    revision: () => configuration.revision(),
    noteProof: (revision, prover) => core.keeper.noteProof(revision, prover),
  });
  const stopOrders = startOrdersRole({
    ...ports,
    daemonId: settings.daemonId,
    incarnation: core.incarnation,
    state,
    configuration,
    parts: core.parts,
    watch: core.watch,
    takenOut: core.takenOut,
    onTakenOut: (takenOut) => takeDrains(state, { takenOut }),
    liveDaemonIds: () => fleet.liveDaemonIds(),
    planMilliseconds: intervals.ordersMilliseconds,
  });
  return {
    offer: configurationRole.offer,
    announce: fleetRole.announce,
    stop: mergeTeardowns(
      () => stop(system),
      core.start(),
      configurationRole.stop,
      stopList,
      stopEndpoints,
      stopVmList,
      fleetRole.stop,
      stopOrders,
    ),
  };
}
