import type { DaemonPorts } from "./daemon_ports.ts";
import type { PeerHandlers } from "./peers/peer_router.ts";
import type { Settings } from "./settings/settings_schema.ts";
import type { DaemonCore } from "./create_core.ts";
import { readFileSync } from "node:fs";
import { start, stop } from "nact";
import { startConfigurationRole } from "./actors/configuration_role.ts";
import { startEndpointsRole } from "./actors/endpoints_role.ts";
import { startFleetRole } from "./actors/fleet_role.ts";
import { startVmListRole } from "./actors/vm_list_role.ts";
import { answerClaimInquiry } from "./answer_claim_inquiry.ts";
import { createCore } from "./create_core.ts";
import { createRoutes } from "./create_routes.ts";
import { drainDaemon } from "./drain_daemon.ts";
import { HttpFront } from "./front/http_front.ts";
import { errorDetails } from "./log/daemon_log.ts";
import { createPeerListener } from "./peers/peer_listener.ts";
import { PEER_PATH } from "./peers/peer_protocol.ts";
import { parsePeerAddress } from "./peers/parse_peer_address.ts";
import { mergeTeardowns } from "./state/merge_teardowns.ts";

/** A daemon that runs. */
export interface Daemon {
  readonly port: number;
  readonly incarnation: string;
  /** Stops gracefully; resolves when nothing is in flight. */
  readonly stop: () => Promise<void>;
  /** Drops everything at once, as a process that dies does. For tests. */
  readonly crash: () => void;
}

/** Starts a daemon on its ports. Throws `listen_failed`. */
export async function startDaemon(
  settings: Settings,
  ports: DaemonPorts,
): Promise<Daemon> {
  const { timer, random, log } = ports;
  let port = settings.port;
  const core = createCore({ settings, ports, port: () => port });
  const { state, configuration, store, drains, fleet } = core;
  const system = start();
  const roleOptions = { system, state, timer, random, log };
  const { intervals } = settings;
  const configurationRole = startConfigurationRole({
    ...roleOptions,
    table: ports.table,
    store,
    drains,
    pollMilliseconds: intervals.configurationPollMilliseconds,
  });
  const front = createFront({
    settings,
    ports,
    core,
    offer: configurationRole.offer,
  });
  port = await front.listen();
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
    seeds: settings.seeds.map(parsePeerAddress),
    digestMilliseconds: intervals.digestMilliseconds,
    offer: configurationRole.offer,
    revision: () => configuration.revision(),
  });
  const stopRoles = mergeTeardowns(
    core.start(),
    configurationRole.stop,
    stopList,
    stopEndpoints,
    stopVmList,
    fleetRole.stop,
    () => stop(system),
  );
  return {
    port,
    incarnation: core.incarnation,
    stop: async () => {
      await drainDaemon({
        core,
        timer,
        announce: fleetRole.announce,
        limitMilliseconds: settings.limits.drainLimitMilliseconds,
      });
      stopRoles();
      await front.close();
      await core.metrics.close();
    },
    crash: () => {
      stopRoles();
      front.destroy();
    },
  };
}

function createFront(options: {
  readonly settings: Settings;
  readonly ports: DaemonPorts;
  readonly core: DaemonCore;
  readonly offer: Parameters<typeof createRoutes>[0]["offer"];
}): HttpFront {
  const { settings, ports, core, offer } = options;
  const { limits, tls } = settings;
  const handlers: PeerHandlers = {
    exchange: (digest) => {
      core.fleet.heard(digest);
      return core.fleet.createDigest();
    },
    configuration: () => core.state.read().configurationRow ?? null,
    askClaim: (inquiry) =>
      answerClaimInquiry({ ...core, timer: ports.timer }, inquiry),
  };
  return new HttpFront({
    address: settings.address,
    port: settings.port,
    routes: createRoutes({ settings, ports, core, offer }),
    mounted: {
      prefix: PEER_PATH,
      listener: createPeerListener(handlers, { secret: settings.peerSecret }),
    },
    maximumHeaderBytes: limits.maximumHeaderBytes,
    headersTimeoutMilliseconds: limits.headersTimeoutMilliseconds,
    requestTimeoutMilliseconds: limits.bodyTimeoutMilliseconds +
      limits.headersTimeoutMilliseconds,
    maximumConnections: limits.maximumConnections,
    ...(tls === undefined ? {} : {
      tls: {
        certificate: readFileSync(tls.certificateFile, "utf8"),
        key: readFileSync(tls.keyFile, "utf8"),
      },
    }),
    isClosing: () => core.state.read().isLeaving,
    elsewhere: () => core.fleet.elsewhere(),
    onInternalError: (error) =>
      ports.log.error("Internal error", errorDetails(error)),
  });
}
