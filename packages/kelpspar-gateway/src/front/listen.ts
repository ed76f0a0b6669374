import type { Server } from "node:http";
import { parseHost } from "kelpspar-shared";

/** Connections that may wait to be accepted while the process is busy. */
const LISTEN_BACKLOG = 1_024;

/** Listens at `address:port`; throws when the port is in use. */
export function listen(server: Server, address: string): Promise<void> {
  const { address: host, port } = parseHost(address);
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen({ host, port, backlog: LISTEN_BACKLOG }, () => {
      server.off("error", reject);
      resolve();
    });
  });
}
