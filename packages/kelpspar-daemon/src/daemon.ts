import type { DaemonCore } from "./create_core.ts";
import type { DaemonPorts } from "./daemon_ports.ts";
import type { Settings } from "./settings/settings_schema.ts";
import type { DaemonActors } from "./start_actors.ts";
import { readFileSync } from "node:fs";
import { createCore } from "./create_core.ts";
import { createPeerHandlers } from "./create_peer_handlers.ts";
import { createRoutes } from "./create_routes.ts";
import { drainDaemon } from "./drain_daemon.ts";
import { HttpServer } from "./front/http_server.ts";
import { errorDetails } from "./log/daemon_log.ts";
import { createPeerListener } from "./peers/peer_listener.ts";
import { PEER_PATH } from "./peers/peer_protocol.ts";
import { startActors } from "./start_actors.ts";

/** A running daemon. */
export interface Daemon {
  readonly port: number;
  readonly incarnation: string;
  /** Stops gracefully; resolves when the drain and the shutdown are done. */
  readonly stop: () => Promise<void>;
}

/** Starts a daemon. Throws `listen_failed`. */
export async function startDaemon(
  settings: Settings,
  ports: DaemonPorts,
): Promise<Daemon> {
  const { limits } = settings;
  let port = settings.port;
  const core = createCore({ settings, ports, port: () => port });
  const front = createServer({
    settings,
    ports,
    core,
    offer: (row) => actors.offer(row),
  });
  // The first digest advertises the port, so it must be known before the actors
  // start. No request is handled before this function continues.
  port = await front.listen();
  const actors = startActors({ settings, ports, core });
  return {
    port,
    incarnation: core.incarnation,
    stop: async () => {
      const stopDeadline = ports.timer.now() + limits.drainLimitMilliseconds;
      await drainDaemon({
        core,
        timer: ports.timer,
        announce: actors.announce,
        limitMilliseconds: limits.drainLimitMilliseconds,
      });
      actors.stop();
      await front.close(Math.max(0, stopDeadline - ports.timer.now()));
      await core.metrics.close();
    },
  };
}

function createServer(options: {
  readonly settings: Settings;
  readonly ports: DaemonPorts;
  readonly core: DaemonCore;
  readonly offer: DaemonActors["offer"];
}): HttpServer {
  const { settings, ports, core, offer } = options;
  const { limits, tls } = settings;
  const handlers = createPeerHandlers(core, ports);
  return new HttpServer({
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
      ports.log.error("internal error", errorDetails(error)),
  });
}
