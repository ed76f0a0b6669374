import type { Server } from "node:http";
import { parseHost } from "kelpspar-shared";

/** Connections that may wait to be taken while the process is busy. */
const BACKLOG = 1_024;

/** Listens at `address:port`; throws when the port is taken. */
export function listen(server: Server, address: string): Promise<void> {
  const { address: host, port } = parseHost(address);
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen({ host, port, backlog: BACKLOG }, () => {
      server.off("error", reject);
      resolve();
    });
  });
}
