import { createServer } from "node:net";

/**
 * Below the range from which the system assigns ports to connections, which
 * would otherwise take a port between its allocation and its use.
 */
const FIRST_PORT = 10_000;
const PORT_COUNT = 22_000;
/**
 * Distance between the first ports of processes with successive ids: more than a
 * site uses. A port of a daemon that is down looks free to another process, whose
 * daemon would then receive the first one's requests.
 */
const PROCESS_PORT_COUNT = 1_021;

let nextOffset = firstPortOffset(process.pid);

/** Where a process begins to look for ports, from the lowest one. */
export function firstPortOffset(processId: number): number {
  return processId * PROCESS_PORT_COUNT % PORT_COUNT;
}

/**
 * Finds `count` loopback ports that are free now and weren't returned by an
 * earlier call. A started process doesn't listen at once: until then its ports
 * look free, and the next process would get them too.
 */
export async function findFreePorts(count: number): Promise<readonly number[]> {
  const ports: number[] = [];
  while (ports.length < count) {
    const port = FIRST_PORT + nextOffset;
    nextOffset = (nextOffset + 1) % PORT_COUNT;
    if (await isFree(port)) ports.push(port);
  }
  return ports;
}

function isFree(port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once("error", () => resolve(false));
    server.listen(port, "127.0.0.1", () => server.close(() => resolve(true)));
  });
}
