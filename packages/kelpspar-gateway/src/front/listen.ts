import type { Server } from "node:http";

/** Connections that may wait to be taken while the process is busy. */
const BACKLOG = 1_024;

/** Listens at `address:port`; throws when the port is taken. */
export function listen(server: Server, address: string): Promise<void> {
  const colon = address.lastIndexOf(":");
  const port = Number(address.slice(colon + 1));
  const host = address.slice(0, colon);
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen({ host, port, backlog: BACKLOG }, () => {
      server.off("error", reject);
      resolve();
    });
  });
}
