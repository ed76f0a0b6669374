import { parseHost } from "kelpspar-shared";
import { createServer } from "node:net";
import { listenOnLoopback } from "./listen_on_loopback.ts";

/** Ports that were given out by this process; never given out again. */
const givenOut = new Set<number>();

/**
 * Finds `count` ports of loopback that are free now and that nobody else got
 * from here. A process that is started takes a moment until it listens; its
 * ports are still free then, and the next process would be given them too.
 */
export async function findFreePorts(count: number): Promise<readonly number[]> {
  const ports: number[] = [];
  while (ports.length < count) {
    for (const port of await listenForPorts(count - ports.length)) {
      if (givenOut.has(port)) continue;
      givenOut.add(port);
      ports.push(port);
    }
  }
  return ports;
}

async function listenForPorts(count: number): Promise<readonly number[]> {
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
