import type { AddressInfo, Server } from "node:net";

/** Listens on a free loopback port; resolves to `address:port`. */
export function listenOnLoopback(server: Server): Promise<string> {
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(0, "127.0.0.1", () => {
      const { port } = server.address() as AddressInfo;
      resolve(`127.0.0.1:${port}`);
    });
  });
}
