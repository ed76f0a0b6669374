import type { TimerService } from "kelpspar-shared";
import type { Site } from "../site/site.ts";
import type { TimedRequest } from "./timed_requests.ts";
import { Client, Pool } from "undici";
import { requestDirectly, requestThroughDaemon } from "./timed_requests.ts";
import { ADMINISTRATOR_KEY, startOverheadSite } from "./overhead_site.ts";
import { percentilesOf, round } from "./percentiles.ts";

const LATENCY_REQUESTS = 1_000;
const WARM_UP_REQUESTS = 1_500;
const THROUGHPUT_MILLISECONDS = 8_000;
const STREAMS = [100, 1_000] as const;

/** What a daemon's process took so far. */
interface ProcessUse {
  readonly processorMilliseconds: number;
  readonly memoryBytes: number;
}

/** One line of figures. */
export type OverheadLine = Readonly<Record<string, string | number>>;

/** Measures what one daemon adds and carries; gives a line for each figure. */
export async function runOverhead(
  timer: TimerService,
  print: (line: OverheadLine) => void,
): Promise<void> {
  const site = await startOverheadSite({
    timer,
    engines: 1,
    stepMilliseconds: 0,
  });
  try {
    const pools = openPools(site);
    const daemon = new Pool(originOf(site.daemons[0]), { connections: 512 });
    const through = (): Promise<TimedRequest> =>
      requestThroughDaemon(daemon, "tokens=8 soil report");
    const directly = (): Promise<TimedRequest> =>
      requestDirectly(pools, "tokens=8 soil report");
    await closedLoop(through, { callers: 8, requests: WARM_UP_REQUESTS });
    await closedLoop(directly, { callers: 8, requests: WARM_UP_REQUESTS });
    await compareLatency({
      name: "idle",
      callers: 1,
      through,
      directly,
      print,
    });
    await measureRequests(site, { through, print });
    await Promise.all([daemon.close(), ...[...pools.values()].map(closePool)]);
  } finally {
    await site.stop();
  }
  await measureStreams(timer, print);
}

async function compareLatency(options: {
  readonly name: string;
  readonly callers: number;
  readonly through: () => Promise<TimedRequest>;
  readonly directly: () => Promise<TimedRequest>;
  readonly print: (line: OverheadLine) => void;
}): Promise<void> {
  const { callers } = options;
  const load = { callers, requests: LATENCY_REQUESTS };
  const direct = percentilesOf(await closedLoop(options.directly, load));
  const daemon = percentilesOf(await closedLoop(options.through, load));
  options.print({
    figure: `latency-${options.name}`,
    directP50: direct.p50,
    daemonP50: daemon.p50,
    addedP50: round(daemon.p50 - direct.p50),
    directP99: direct.p99,
    daemonP99: daemon.p99,
    addedP99: round(daemon.p99 - direct.p99),
  });
}

async function measureRequests(
  site: Site,
  options: {
    readonly through: () => Promise<TimedRequest>;
    readonly print: (line: OverheadLine) => void;
  },
): Promise<void> {
  for (const callers of [4, 16, 64]) {
    const before = await readUse(site);
    const startedAt = performance.now();
    const times = await closedLoop(options.through, {
      callers,
      milliseconds: THROUGHPUT_MILLISECONDS,
    });
    const seconds = (performance.now() - startedAt) / 1_000;
    const after = await readUse(site);
    const busy = after.processorMilliseconds - before.processorMilliseconds;
    options.print({
      figure: `requests-${callers}-callers`,
      requestsPerSecond: round(times.length / seconds),
      coresUsed: round(busy / 1_000 / seconds),
      processorMillisecondsPerRequest: round(busy / times.length),
      requestsPerSecondOfOneCore: round(1_000 * times.length / busy),
      ...percentilesOf(times),
    });
  }
}

async function measureStreams(
  timer: TimerService,
  print: (line: OverheadLine) => void,
): Promise<void> {
  const site = await startOverheadSite({
    timer,
    engines: 6,
    stepMilliseconds: 40,
  });
  const daemon = new Pool(originOf(site.daemons[0]), { connections: 1_200 });
  try {
    const idle = await readUse(site);
    print({ figure: "memory-0-streams", megabytes: toMegabytes(idle) });
    for (const streams of STREAMS) {
      const before = await readUse(site);
      const startedAt = performance.now();
      const running = Promise.all(Array.from(
        { length: streams },
        () => requestThroughDaemon(daemon, "tokens=200 soil report"),
      ));
      await wait(timer, 4_000);
      const middle = await readUse(site);
      const all = await running;
      const seconds = (performance.now() - startedAt) / 1_000;
      const after = await readUse(site);
      const chunks = all.reduce((sum, one) => sum + one.chunks, 0);
      const busy = after.processorMilliseconds - before.processorMilliseconds;
      print({
        figure: `streams-${streams}`,
        chunksPerSecond: round(chunks / seconds),
        coresUsed: round(busy / 1_000 / seconds),
        chunksPerSecondOfOneCore: round(1_000 * chunks / busy),
        megabytes: toMegabytes(middle),
      });
    }
    await daemon.close();
  } finally {
    await site.stop();
  }
}

/** Runs requests back to back; returns how long each took, milliseconds. */
async function closedLoop(
  request: () => Promise<TimedRequest>,
  load: {
    readonly callers: number;
    readonly requests?: number;
    readonly milliseconds?: number;
  },
): Promise<readonly number[]> {
  const times: number[] = [];
  const startedAt = performance.now();
  const isOver = (): boolean =>
    times.length >= (load.requests ?? Number.POSITIVE_INFINITY) ||
    performance.now() - startedAt >=
      (load.milliseconds ?? Number.POSITIVE_INFINITY);
  await Promise.all(Array.from({ length: load.callers }, async () => {
    while (!isOver()) times.push((await request()).milliseconds);
  }));
  return times;
}

async function readUse(site: Site): Promise<ProcessUse> {
  const client = new Client(originOf(site.daemons[0]));
  try {
    const answer = await client.request({
      method: "GET",
      path: "/v1/operator/status",
      headers: { authorization: `Bearer ${ADMINISTRATOR_KEY}` },
    });
    const body = await answer.body.json() as {
      readonly daemons: readonly ProcessUse[];
    };
    const [self] = body.daemons;
    if (self === undefined) throw new Error("No status");
    return self;
  } finally {
    await client.close();
  }
}

function openPools(site: Site): ReadonlyMap<string, Pool> {
  return new Map(
    site.endpoints.map((endpoint) => [
      endpoint.service,
      new Pool(originOf(endpoint), { connections: 128 }),
    ]),
  );
}

function closePool(pool: Pool): Promise<void> {
  return pool.close();
}

function originOf(part: { readonly port: number } | undefined): string {
  if (part === undefined) throw new Error("The site lacks a part");
  return `http://127.0.0.1:${part.port}`;
}

function toMegabytes(use: ProcessUse): number {
  return Math.round(use.memoryBytes / 1024 / 1024);
}

function wait(timer: TimerService, milliseconds: number): Promise<void> {
  return new Promise((resolve) => {
    timer.registerTimeout(resolve, milliseconds);
  });
}
