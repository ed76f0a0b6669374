import { createServer } from "node:net";
import process from "node:process";

/**
 * Environment variable with a range of ports, `FIRST-LAST`. Programs that run
 * beside each other with ranges of their own never use each other's ports.
 */
export const PORT_RANGE_VARIABLE = "KELPSPAR_PORTS";

/** A range of ports. */
export interface PortRange {
  readonly firstPort: number;
  readonly count: number;
}

/**
 * Below the range from which the system assigns ports to connections, which
 * would otherwise take a port between its allocation and its use.
 */
const DEFAULT_RANGE: PortRange = { firstPort: 10_000, count: 22_000 };
/**
 * Distance between the first ports of processes with successive ids: more than a
 * site uses. A port of a daemon that is down looks free to another process, whose
 * daemon would then receive the first one's requests.
 */
const PROCESS_PORT_COUNT = 1_021;

const range = parsePortRange(process.env[PORT_RANGE_VARIABLE]);
let nextOffset = firstPortOffset(process.pid);

/** Where a process begins to look for ports, from the lowest one. */
export function firstPortOffset(processId: number): number {
  return processId * PROCESS_PORT_COUNT % range.count;
}

/** Parses `FIRST-LAST`; throws `TypeError` if it isn't a range of ports. */
export function parsePortRange(text: string | undefined): PortRange {
  if (text === undefined || text === "") return DEFAULT_RANGE;
  const [, first, last] = /^(\d{4,5})-(\d{4,5})$/.exec(text) ?? [];
  const firstPort = Number(first);
  const count = Number(last) - firstPort + 1;
  if (count > 0) return { firstPort, count };
  throw new TypeError(
    `${PORT_RANGE_VARIABLE} was read and takes FIRST-LAST, not "${text}"`,
  );
}

/**
 * Finds `count` loopback ports that are free now and weren't returned by an
 * earlier call. A started process doesn't listen at once: until then its ports
 * look free, and the next process would get them too.
 */
export async function findFreePorts(count: number): Promise<readonly number[]> {
  const ports: number[] = [];
  while (ports.length < count) {
    const port = range.firstPort + nextOffset;
    nextOffset = (nextOffset + 1) % range.count;
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
