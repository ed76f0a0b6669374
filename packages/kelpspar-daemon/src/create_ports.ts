import type { DaemonPorts } from "./daemon_ports.ts";
import type { Settings } from "./settings/settings_schema.ts";
import {
  HttpEndpointClient,
  HttpTableService,
  HttpVmList,
  HttpWeightStore,
} from "kelpspar-backends";
import { SystemRandom, SystemTimer } from "kelpspar-shared";
import { createDaemonLog } from "./log/daemon_log.ts";
import { TrpcPeerClient } from "./peers/trpc_peer_client.ts";

/** Ports with real connections, which can be closed. */
export interface ClosablePorts extends DaemonPorts {
  readonly close: () => Promise<void>;
}

/** Creates the ports to the platform's services named in the settings. */
export function createPorts(settings: Settings): ClosablePorts {
  const timer = new SystemTimer();
  const { platform } = settings;
  const { timeoutMilliseconds } = platform;
  const common = { timer, timeoutMilliseconds };
  const table = new HttpTableService({
    ...common,
    origin: platform.tableOrigin,
  });
  const vmList = new HttpVmList({ ...common, origin: platform.vmListOrigin });
  const weightStore = new HttpWeightStore({
    ...common,
    origin: platform.weightOrigin,
  });
  const endpoints = new HttpEndpointClient({ timer });
  const peers = new TrpcPeerClient({
    secret: settings.peerSecret,
    timer,
    tls: settings.tls !== undefined,
  });
  const closables = [table, vmList, weightStore, endpoints, peers];
  return {
    table,
    vmList,
    weightStore,
    endpoints,
    peers,
    timer,
    random: new SystemRandom(),
    log: createDaemonLog(settings.log, { daemon: settings.daemonId }),
    close: async () => {
      await Promise.all(closables.map((port) => port.close()));
    },
  };
}
