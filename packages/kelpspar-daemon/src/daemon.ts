import type { DaemonCore } from "./create_core.ts";
import type { DaemonPorts } from "./daemon_ports.ts";
import type { Settings } from "./settings/settings_schema.ts";
import type { DaemonRoles } from "./start_actors.ts";
import { readFileSync } from "node:fs";
import { createCore } from "./create_core.ts";
import { createPeerHandlers } from "./create_peer_handlers.ts";
import { createRoutes } from "./create_routes.ts";
import { drainDaemon } from "./drain_daemon.ts";
import { HttpFront } from "./front/http_server.ts";
import { errorDetails } from "./log/daemon_log.ts";
import { createPeerListener } from "./peers/peer_listener.ts";
import { PEER_PATH } from "./peers/peer_protocol.ts";
import { startRoles } from "./start_actors.ts";

/** A daemon that runs. */
export interface Daemon {
  readonly port: number;
  readonly incarnation: string;
  /** Stops gracefully; resolves when nothing is in flight. */
  readonly stop: () => Promise<void>;
}

/** Starts a daemon on its ports. Throws `listen_failed`. */
export async function startDaemon(
  settings: Settings,
  ports: DaemonPorts,
): Promise<Daemon> {
  const { limits } = settings;
  let port = settings.port;
  const core = createCore({ settings, ports, port: () => port });
  const front = createFront({
    settings,
    ports,
    core,
    offer: (row) => roles.offer(row),
  });
  // Peers learn the port from the first digest, so it must be known by then.
  // No request is answered before this function goes on.
  port = await front.listen();
  const roles = startRoles({ settings, ports, core });
  return {
    port,
    incarnation: core.incarnation,
    stop: async () => {
      const stopBy = ports.timer.now() + limits.drainLimitMilliseconds;
      await drainDaemon({
        core,
        timer: ports.timer,
        announce: roles.announce,
        limitMilliseconds: limits.drainLimitMilliseconds,
      });
      roles.stop();
      await front.close(Math.max(0, stopBy - ports.timer.now()));
      await core.metrics.close();
    },
  };
}

function createFront(options: {
  readonly settings: Settings;
  readonly ports: DaemonPorts;
  readonly core: DaemonCore;
  readonly offer: DaemonRoles["offer"];
}): HttpFront {
  const { settings, ports, core, offer } = options;
  const { limits, tls } = settings;
  const handlers = createPeerHandlers(core, ports);
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
    timer: ports.timer,
    isClosing: () => core.state.read().isLeaving,
    elsewhere: () => core.fleet.elsewhere(),
    onInternalError: (error) =>
      ports.log.error("Internal error", errorDetails(error)),
  });
}
