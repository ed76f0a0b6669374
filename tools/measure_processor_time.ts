// Measures the processor time of one life of a daemon (start, requests, stop)
// in a fleet, against the platform's stand-ins. The other daemons of the fleet
// run in this process and aren't measured. `--profile FOLDER` writes a profile
// of each measured daemon.
import type { GatewayLog } from "kelpspar-gateway";
import { mkdtempSync, readdirSync, readFileSync, rmSync } from "node:fs";
import { writeFileSync } from "node:fs";
import { Agent, request as sendRequest } from "undici";
import { tmpdir } from "node:os";
import { join, resolve } from "node:path";
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import { parseArgs } from "node:util";
import { SeededRandom, SystemTimer } from "kelpspar-shared";
import { StartedProcess } from "../packages/kelpspar-standins/src/process/started_process.ts";
import { WireSite } from "../packages/kelpspar-standins/src/wire/wire_site.ts";
import { parseSettings } from "../platform/src/settings.ts";
import { startPlatformDaemon } from "../platform/src/start_platform_daemon.ts";

/** Routes in the proportions of a day of the larger deployment, in percent. */
const ROUTE_SHARES = { once: 17, often: 7, stream: 38, resumed: 38 } as const;
const LARGE_CORES = 1.35;
const READER_CORES = 1.2;
const SMALL_CORES = 0.5;
const READERS = 8;
/** Endpoints that are listed and get no requests. */
const IDLE_ENDPOINTS = 88;
const HEARTBEAT_MILLISECONDS = 1_200;
const SETTLE_MILLISECONDS = 4_000;
const DEADLINE_MILLISECONDS = 2_500;
const KILOBYTES_PER_MEGABYTE = 1_024;
const NANOSECONDS_PER_MILLISECOND = 1_000_000;

const { values } = parseArgs({
  options: {
    daemons: { type: "string", default: "61" },
    seconds: { type: "string", default: "12" },
    rate: { type: "string", default: "9" },
    lives: { type: "string", default: "3" },
    program: { type: "string", default: "target/start_daemon.cjs" },
    profile: { type: "string" },
    options: { type: "string" },
  },
});
const program = resolve(values.program);
const seconds = Number(values.seconds);
const rate = Number(values.rate);
const folder = mkdtempSync(join(tmpdir(), "kelpspar-time-"));
const timer = new SystemTimer();
const quiet: GatewayLog = { info: () => {}, warn: () => {} };
const site = new WireSite({
  plainRunners: 4,
  modelRunners: 12,
  stageRunners: 6,
  callMilliseconds: 10,
  batch: 16,
  room: 400,
});
await site.start();
writeIdleEndpoints();
setInterval(writeHeartbeats, HEARTBEAT_MILLISECONDS);
for (let index = 0; index < Number(values.daemons) - 2; index++) {
  await startUnmeasured(index);
}
const coordinator = await createMeasured("coordinator", LARGE_CORES);
const coordinatorProcess = coordinator.start();
await sleep(SETTLE_MILLISECONDS);
const front = await createMeasured("front", SMALL_CORES);
const answers = new Map<string, number>();
for (let life = 0; life < Number(values.lives); life++) {
  const atCoordinator = readProcessorTime(coordinatorProcess.processId);
  const started = front.start();
  await sleep(1_000);
  const afterStart = readProcessorTime(started.processId);
  const requests = rate > 0 ? await sendRequests(front.address) : 0;
  if (rate === 0) await sleep(seconds * 1_000);
  const atEnd = readProcessorTime(started.processId);
  console.log(JSON.stringify({
    life,
    startMilliseconds: Math.round(afterStart),
    runMilliseconds: Math.round(atEnd - afterStart),
    requests,
    lines: started.count(),
    peakMegabytes: readPeakMemory(started.processId),
    otherThreadsMilliseconds: Math.round(
      atEnd - readProcessorTime(started.processId, true),
    ),
    coordinatorMilliseconds: Math.round(
      readProcessorTime(coordinatorProcess.processId) - atCoordinator,
    ),
  }));
  await started.process.stop();
}
await coordinatorProcess.process.stop();
console.log(JSON.stringify(Object.fromEntries(answers)));
rmSync(folder, { recursive: true });
process.exit();

interface Measured {
  readonly address: string;
  start(): {
    readonly process: StartedProcess;
    readonly processId: number;
    count(): number;
  };
}

async function createMeasured(name: string, cores: number): Promise<Measured> {
  const settings = await createSettings(name, cores);
  const path = join(folder, `${name}.json`);
  writeFileSync(path, JSON.stringify(settings));
  const run = /^run = "node (.*) target\/start_daemon\.cjs"$/m.exec(
    readFileSync("deploy/system.toml", "utf8"),
  );
  const nodeArguments = (values.options ?? run?.[1] ?? "").split(" ");
  if (values.profile !== undefined) {
    nodeArguments.push(
      "--cpu-prof",
      "--cpu-prof-interval=200",
      `--cpu-prof-dir=${join(resolve(values.profile), name)}`,
    );
  }
  return {
    address: (settings["listen"] as Record<string, string>)["front"] ?? "",
    start: () => {
      let lines = 0;
      const started = new StartedProcess({
        name,
        program,
        nodeArguments,
        environment: { KELPSPAR_BOOT: path },
      });
      started.registerLine((line) => {
        lines++;
        if (line.includes('"level":"warn"')) console.log(line);
      });
      return {
        process: started,
        processId: started.processId,
        count: () => lines,
      };
    },
  };
}

async function createSettings(
  name: string,
  cores: number,
): Promise<Record<string, unknown>> {
  return { ...await site.createSettings(name), limits: { cpuShare: 1, cores } };
}

async function startUnmeasured(index: number): Promise<void> {
  const cores = index < READERS ? READER_CORES : SMALL_CORES;
  const settings = await createSettings(`daemon-${index}`, cores);
  await startPlatformDaemon({
    settings: parseSettings(JSON.stringify(settings), "in memory"),
    timer,
    random: new SeededRandom(index),
    log: quiet,
  });
}

function writeIdleEndpoints(): void {
  for (let index = 0; index < IDLE_ENDPOINTS; index++) {
    site.store.put("servers", `idle-${index}`, {
      service: "idle",
      address: "127.0.0.1:1",
      zone: "a",
      version: "v1",
      slots: 4,
      state: "ready",
      coldLeftMs: 0,
      seq: 1,
    });
  }
}

function writeHeartbeats(): void {
  const rows = [
    ...["plain", "model", "stage"].flatMap((name) => site.runnerRowsOf(name)),
    ...Array.from({ length: IDLE_ENDPOINTS }, (_, index) => ({
      key: `idle-${index}`,
      value: {
        service: "idle",
        address: "127.0.0.1:1",
        zone: "a",
        version: "v1",
        slots: 4,
        state: "ready",
        coldLeftMs: 0,
      },
    })),
  ];
  for (const [index, { key, value }] of rows.entries()) {
    setTimeout(() => {
      const seq = Math.round(timer.now());
      site.store.put("servers", key, { ...value, seq });
    }, index * HEARTBEAT_MILLISECONDS / rows.length);
  }
}

/** Sends requests at a steady rate; returns their number. */
async function sendRequests(address: string): Promise<number> {
  const agent = new Agent({ pipelining: 1 });
  const count = rate * seconds;
  const calls: Promise<void>[] = [];
  for (let index = 0; index < count; index++) {
    calls.push(sendOne(address, agent, index));
    await sleep(1_000 / rate);
  }
  await Promise.all(calls);
  await agent.destroy();
  return count;
}

async function sendOne(
  address: string,
  agent: Agent,
  index: number,
): Promise<void> {
  const route = pickRoute(index);
  const attemptId = `${process.pid.toString(16)}${index}${Math.random()}`;
  let outcome = "failed";
  try {
    const { statusCode, body } = await sendRequest(
      `http://${address}/${route}/x`,
      {
        method: route === "often" ? "GET" : "POST",
        dispatcher: agent,
        signal: AbortSignal.timeout(DEADLINE_MILLISECONDS),
        headers: {
          host: site.host,
          "x-attempt-id": attemptId,
          "x-deadline-ms": String(DEADLINE_MILLISECONDS),
          "x-api-key": "key-1",
          "x-pieces": "2,3",
          "x-piece-key": attemptId,
          "x-prompt-prefix": `shared-${index % 20}:1000,own-${index}:200`,
        },
        body: route === "often" ? null : "x".repeat(2_000),
      },
    );
    await body.text();
    outcome = String(statusCode);
  } catch (error) {
    outcome = String(error);
  }
  const key = `${route} ${outcome}`;
  answers.set(key, (answers.get(key) ?? 0) + 1);
}

function pickRoute(index: number): string {
  let place = (index * 37) % 100;
  for (const [route, share] of Object.entries(ROUTE_SHARES)) {
    place -= share;
    if (place < 0) return route;
  }
  return "once";
}

/** Peak resident memory of a process, megabytes. */
function readPeakMemory(processId: number): number {
  const status = readFileSync(`/proc/${processId}/status`, "utf8");
  const kilobytes = Number(/VmHWM:\s+(\d+)/.exec(status)?.[1]);
  return Math.round(kilobytes / KILOBYTES_PER_MEGABYTE);
}

/**
 * Processor time of all threads of a process, or of its main thread,
 * milliseconds.
 */
function readProcessorTime(processId: number, isMainOnly = false): number {
  const tasks = `/proc/${processId}/task`;
  const measured = isMainOnly ? [String(processId)] : readdirSync(tasks);
  return measured.reduce((sum, task) => {
    const text = readFileSync(`${tasks}/${task}/schedstat`, "utf8");
    return sum + Number(text.split(" ")[0]) / NANOSECONDS_PER_MILLISECOND;
  }, 0);
}
