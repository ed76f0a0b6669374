import { parseHost } from "kelpspar-shared";
import { createServer } from "node:net";
import { listenOnLoopback } from "./listen_on_loopback.ts";

/** Ports allocated by this process; none is allocated twice. */
const allocatedPorts = new Set<number>();

/**
 * Finds `count` loopback ports that are free now and weren't returned by an
 * earlier call. A started process doesn't listen at once: until then its ports
 * look free, and the next process would get them too.
 */
export async function findFreePorts(count: number): Promise<readonly number[]> {
  const ports: number[] = [];
  while (ports.length < count) {
    for (const port of await probeFreePorts(count - ports.length)) {
      if (allocatedPorts.has(port)) continue;
      allocatedPorts.add(port);
      ports.push(port);
    }
  }
  return ports;
}

async function probeFreePorts(count: number): Promise<readonly number[]> {
  // All listen at the same time, so that no port is found twice.
  const servers = Array.from({ length: count }, () => createServer());
  const addresses = await Promise.all(servers.map(listenOnLoopback));
  await Promise.all(
    servers.map((server) =>
      new Promise<void>((resolve) => server.close(() => resolve()))
    ),
  );
  return addresses.map((address) => parseHost(address).port);
}
