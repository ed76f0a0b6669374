import type { AddressInfo } from "node:net";
import { createServer } from "node:net";

/** Finds `count` ports of loopback that are free now. */
export async function findFreePorts(count: number): Promise<readonly number[]> {
  const servers = Array.from({ length: count }, () => createServer());
  const ports = await Promise.all(
    servers.map((server) =>
      new Promise<number>((resolve, reject) => {
        server.once("error", reject);
        server.listen(0, "127.0.0.1", () => {
          resolve((server.address() as AddressInfo).port);
        });
      })
    ),
  );
  await Promise.all(
    servers.map((server) =>
      new Promise<void>((resolve) => server.close(() => resolve()))
    ),
  );
  return ports;
}
