import type { DaemonCore } from "./create_core.ts";
import type { DaemonPorts } from "./daemon_ports.ts";
import type { Settings } from "./settings/settings_schema.ts";
import type { ConfigurationRow } from "./configuration/configuration_row.ts";
import { parseHost } from "kelpspar-shared";
import { start, stop } from "nact";
import { startConfigurationActor } from "./actors/configuration_actor.ts";
import { startEndpointsActor } from "./actors/endpoints_actor.ts";
import { startFleetActor } from "./actors/fleet_actor.ts";
import { startVmListActor } from "./actors/vm_list_actor.ts";
import { startEngineGroupControllers } from "./orders/start_engine_group_controllers.ts";
import { applyNewerDrains } from "./operators/apply_newer_drains.ts";
import { mergeTeardowns } from "./state/merge_teardowns.ts";

/** The background actors and controllers of a daemon. */
export interface DaemonActors {
  /** Activates a configuration if it is newer than the active one. */
  readonly offer: (row: ConfigurationRow) => void;
  /** Sends the digest to every peer at once. */
  readonly announce: () => Promise<void>;
  readonly stop: () => void;
}

/** Starts a daemon's actors and engine group controllers. */
export function startActors(options: {
  readonly settings: Settings;
  readonly ports: DaemonPorts;
  readonly core: DaemonCore;
}): DaemonActors {
  const { settings, ports, core } = options;
  const { intervals } = settings;
  const { state, configuration, fleet } = core;
  const { timer, random, log } = ports;
  const system = start();
  const actorOptions = { system, state, timer, random, log };
  const configurationActor = startConfigurationActor({
    ...actorOptions,
    table: ports.table,
    store: core.store,
    drains: core.drains,
    takenOut: core.takenOut,
    manager: core.configurationManager,
    pollMilliseconds: intervals.configurationPollMilliseconds,
  });
  const stopVmListListener = state.registerListener((now, before) => {
    if (now.vms !== before.vms) fleet.updateVmList();
  });
  const stopEndpoints = startEndpointsActor({
    ...actorOptions,
    endpointMonitor: core.endpointMonitor,
    loadPollMilliseconds: intervals.loadPollMilliseconds,
  });
  const stopVmList = startVmListActor({
    ...actorOptions,
    vmList: ports.vmList,
    pollMilliseconds: intervals.vmListPollMilliseconds,
  });
  const fleetActor = startFleetActor({
    ...actorOptions,
    fleet,
    peers: ports.peers,
    seeds: settings.seeds.map(parseHost),
    digestMilliseconds: intervals.digestMilliseconds,
    offer: configurationActor.offer,
    revision: () => configuration.revision(),
    noteAcceptedRevision: (revision, prover) =>
      core.configurationManager.noteAcceptedRevision(revision, prover),
  });
  const stopControllers = startEngineGroupControllers({
    ...ports,
    daemonId: settings.daemonId,
    incarnation: core.incarnation,
    state,
    configuration,
    parts: core.parts,
    endpointMonitor: core.endpointMonitor,
    takenOut: core.takenOut,
    onTakenOut: (takenOut) => applyNewerDrains(state, { takenOut }),
    liveDaemonIds: () => fleet.liveDaemonIds(),
    planMilliseconds: intervals.ordersMilliseconds,
  });
  return {
    offer: configurationActor.offer,
    announce: fleetActor.announce,
    stop: mergeTeardowns(
      () => stop(system),
      core.start(),
      configurationActor.stop,
      stopVmListListener,
      stopEndpoints,
      stopVmList,
      fleetActor.stop,
      stopControllers,
    ),
  };
}
