import { parseHost } from "kelpspar-shared";
import { createServer } from "node:net";
import { listenOnLoopback } from "./listen_on_loopback.ts";

/** Finds `count` ports of loopback that are free now. */
export async function findFreePorts(count: number): Promise<readonly number[]> {
  // All at once, so that no port is found twice.
  const servers = Array.from({ length: count }, () => createServer());
  const addresses = await Promise.all(servers.map(listenOnLoopback));
  await Promise.all(
    servers.map((server) =>
      new Promise<void>((resolve) => server.close(() => resolve()))
    ),
  );
  return addresses.map((address) => parseHost(address).port);
}
