import type { TimerService } from "kelpspar-shared";
import type { Site } from "../site/site.ts";
import type { TimedRequest } from "./timed_requests.ts";
import { Client, Pool } from "undici";
import { requestDirectly, requestThroughDaemon } from "./timed_requests.ts";
import { ADMINISTRATOR_KEY, startOverheadSite } from "./overhead_site.ts";
import { computePercentiles, roundToHundredths } from "./percentiles.ts";

const LATENCY_REQUESTS = 1_000;
const WARM_UP_REQUESTS = 1_500;
const THROUGHPUT_MILLISECONDS = 8_000;
const STREAM_COUNTS = [100, 1_000] as const;

/** Processor time and memory of a daemon, from its operator status. */
interface ProcessUsage {
  readonly processorMilliseconds: number;
  readonly memoryBytes: number;
}

/** One line of measured figures. */
export type OverheadLine = Readonly<Record<string, string | number>>;

/**
 * Measures the latency that one daemon adds, its throughput, and its memory
 * under open streams. Prints a line for each measurement.
 */
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
    await runClosedLoop(through, { callers: 8, requests: WARM_UP_REQUESTS });
    await runClosedLoop(directly, { callers: 8, requests: WARM_UP_REQUESTS });
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
  const direct = computePercentiles(
    await runClosedLoop(options.directly, load),
  );
  const daemon = computePercentiles(await runClosedLoop(options.through, load));
  options.print({
    figure: `latency-${options.name}`,
    directP50: direct.p50,
    daemonP50: daemon.p50,
    addedP50: roundToHundredths(daemon.p50 - direct.p50),
    directP99: direct.p99,
    daemonP99: daemon.p99,
    addedP99: roundToHundredths(daemon.p99 - direct.p99),
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
    const before = await readUsage(site);
    const startedAt = performance.now();
    const times = await runClosedLoop(options.through, {
      callers,
      milliseconds: THROUGHPUT_MILLISECONDS,
    });
    const seconds = (performance.now() - startedAt) / 1_000;
    const after = await readUsage(site);
    const busy = after.processorMilliseconds -
      before.processorMilliseconds;
    options.print({
      figure: `requests-${callers}-callers`,
      requestsPerSecond: roundToHundredths(times.length / seconds),
      coresUsed: roundToHundredths(busy / 1_000 / seconds),
      processorMillisecondsPerRequest: roundToHundredths(
        busy / times.length,
      ),
      requestsPerSecondOfOneCore: roundToHundredths(
        1_000 * times.length / busy,
      ),
      ...computePercentiles(times),
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
    const idle = await readUsage(site);
    print({ figure: "memory-0-streams", megabytes: toMegabytes(idle) });
    for (const streams of STREAM_COUNTS) {
      const before = await readUsage(site);
      const startedAt = performance.now();
      const running = Promise.all(Array.from(
        { length: streams },
        () => requestThroughDaemon(daemon, "tokens=200 soil report"),
      ));
      await wait(timer, 4_000);
      const middle = await readUsage(site);
      const all = await running;
      const seconds = (performance.now() - startedAt) / 1_000;
      const after = await readUsage(site);
      const chunks = all.reduce((sum, request) => sum + request.chunks, 0);
      const busy = after.processorMilliseconds -
        before.processorMilliseconds;
      print({
        figure: `streams-${streams}`,
        chunksPerSecond: roundToHundredths(chunks / seconds),
        coresUsed: roundToHundredths(busy / 1_000 / seconds),
        chunksPerSecondOfOneCore: roundToHundredths(
          1_000 * chunks / busy,
        ),
        megabytes: toMegabytes(middle),
      });
    }
    await daemon.close();
  } finally {
    await site.stop();
  }
}

/**
 * Runs a closed loop: each caller sends its next request once the last one is
 * answered. Returns the latency of each request, in milliseconds.
 */
async function runClosedLoop(
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

async function readUsage(site: Site): Promise<ProcessUsage> {
  const client = new Client(originOf(site.daemons[0]));
  try {
    const answer = await client.request({
      method: "GET",
      path: "/v1/operator/status",
      headers: { authorization: `Bearer ${ADMINISTRATOR_KEY}` },
    });
    const body = await answer.body.json() as {
      readonly daemons: readonly ProcessUsage[];
    };
    const [self] = body.daemons;
    if (self === undefined) throw new Error("Status lists no daemons");
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
  if (part === undefined) throw new Error("Site has no daemon");
  return `http://127.0.0.1:${part.port}`;
}

function toMegabytes(usage: ProcessUsage): number {
  return Math.round(usage.memoryBytes / 1024 / 1024);
}

function wait(timer: TimerService, milliseconds: number): Promise<void> {
  return new Promise((resolve) => {
    timer.registerTimeout(resolve, milliseconds);
  });
}
