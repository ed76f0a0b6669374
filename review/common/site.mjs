// A small deployment on loopback: daemons started by the command of the deploy
// file, a stand-in of the store, and runners of the caller's choice.
import { spawn } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { findFreePorts } from "../../packages/kelpspar-standins/dist/wire/free_ports.js";
import { PagedStore } from "./paged_store.mjs";

export const ROOT = fileURLToPath(new URL("../..", import.meta.url));
export const HOST = "pule25.example";
export const KEY = "9dnn2ctnfzs989anu6ws";
const HEARTBEAT_MILLISECONDS = 1_200;
/** No case may run longer than 120 s. */
const MAXIMUM_RUN_MILLISECONDS = 110_000;

/** Bounds of sites/tillbrook-ops.toml. */
const BOUNDS = {
  seedLagS: 3,
  reuseAfterS: 2,
  contactMs: 3000,
  ackMs: 4000,
  catchUpS: 4,
  drainMs: 2000,
  graceS: 8,
  lossSlackMs: 200,
  configApplyMs: 2000,
  rollbackSlackMs: 250,
  maxStretchMs: 5000,
  strictRevocation: false,
  revokeMs: 5000,
  retryBudgetRatio: 0.2,
  budgetWindowS: 10,
  budgetSlack: 52,
  recoveryS: 12,
  passMs: 120,
  reuseWindowS: 10,
  ttl_max_s: 5,
};

export const sleep = (milliseconds) =>
  new Promise((resolve) => setTimeout(resolve, milliseconds));

/** Program and arguments of the deploy file. */
function readRunCommand() {
  const text = readFileSync(join(ROOT, "deploy/system.toml"), "utf8");
  const [, command] = /^run = "([^"]+)"/m.exec(text);
  const [program, ...args] = command.split(" ");
  if (program !== "node") throw new Error(`unexpected program: ${program}`);
  return args;
}

/** Processes of daemons that haven't ended. */
const children = new Set();

process.on("exit", () => {
  for (const child of children) child.kill("SIGKILL");
});
for (const signal of ["SIGINT", "SIGTERM"]) {
  process.on(signal, () => process.exit(2));
}

/** A daemon as a separate process. */
export class Daemon {
  constructor(settings, path, onLine) {
    this.settings = settings;
    this.path = path;
    this.onLine = onLine;
    writeFileSync(path, JSON.stringify(settings));
  }

  get name() {
    return this.settings.nodeName;
  }

  get front() {
    return this.settings.listen.front;
  }

  get directory() {
    return this.settings.listen.directory;
  }

  start() {
    this.child = spawn(process.execPath, readRunCommand(), {
      cwd: ROOT,
      env: {
        PATH: process.env.PATH,
        HOME: process.env.HOME,
        KELPSPAR_BOOT: this.path,
      },
      stdio: ["ignore", "pipe", "pipe"],
    });
    const { child } = this;
    children.add(child);
    child.once("exit", () => children.delete(child));
    for (const stream of [this.child.stdout, this.child.stderr]) {
      stream.on("data", (data) => this.onLine(`${this.name}: ${data}`));
    }
    this.exited = new Promise((resolve) => {
      this.child.once("exit", (code, signal) => resolve({ code, signal }));
    });
  }

  signal(signal) {
    this.child.kill(signal);
  }

  async isReady() {
    try {
      const answer = await fetch(
        `http://${this.settings.listen.ready}/-/ready`,
        { signal: AbortSignal.timeout(1000) },
      );
      return answer.status === 200;
    } catch {
      return false;
    }
  }

  async kill() {
    if (this.child.exitCode !== null || this.child.signalCode !== null) return;
    this.child.kill("SIGKILL");
    await this.exited;
  }
}

export class Site {
  store = new PagedStore();
  daemons = [];
  #folder = mkdtempSync(join(tmpdir(), "review-"));
  #lines = [];
  #timers = [];
  #record;
  #startedAt = performance.now();

  constructor(recordPath) {
    this.#record = recordPath;
    writeFileSync(recordPath, "");
  }

  now() {
    return performance.now() - this.#startedAt;
  }

  /** Adds a line to record.txt. */
  note(text) {
    const line = `${(this.now() / 1000).toFixed(3)} s  ${text}\n`;
    this.#lines.push(line);
  }

  async start({
    daemons,
    configuration,
    runners,
    connectStore = (address) => address,
  }) {
    const storeAddress = await connectStore(await this.store.start());
    for (const [index, runner] of runners.entries()) {
      await this.register(runner);
      this.#startHeartbeats(
        runner,
        index * HEARTBEAT_MILLISECONDS / runners.length,
      );
    }
    this.store.put("op", "config", configuration);
    const all = [];
    for (let index = 0; index < daemons; index++) {
      const [front, ready, control, directory, metrics] = await findFreePorts(
        5,
      );
      const at = (port) => `127.0.0.1:${port}`;
      all.push({
        nodeName: `edge-${index + 1}`,
        role: "daemon",
        machineClass: "edge",
        serves: ["edge", "control", "directory"],
        ip: "127.0.0.1",
        zone: `zone-${index % 3}`,
        region: "prairie-west",
        bootstrap: true,
        discovery: "platform",
        entry: "directory",
        heartbeatMs: 1200,
        zones: {
          "zone-0": "prairie-west",
          "zone-1": "prairie-west",
          "zone-2": "prairie-west",
        },
        listen: {
          front: at(front),
          ready: at(ready),
          control: at(control),
          directory: at(directory),
        },
        limits: { cpuShare: 0.675, cores: 1, memoryMb: 350, maxFds: 4100 },
        bounds: BOUNDS,
        provider: { address: storeAddress, partWritesS: 200 },
        metricsPort: metrics,
      });
    }
    const seeds = all.slice(0, 3).map(({ listen }) => listen.control);
    for (const settings of all) {
      const path = join(this.#folder, `${settings.nodeName}.json`);
      const daemon = new Daemon({ ...settings, seeds }, path, () => {});
      this.daemons.push(daemon);
      daemon.start();
    }
    for (let tries = 0; tries < 150; tries++) {
      const ready = await Promise.all(this.daemons.map((one) => one.isReady()));
      if (ready.every((one) => one)) return;
      await sleep(100);
    }
    throw new Error("the daemons don't get ready");
  }

  /** Writes a runner's entry. */
  async register(runner) {
    runner.address = await runner.start();
    this.writeEntry(runner, 1);
  }

  /** Writes a runner's entry again, as its heartbeats do. */
  writeEntry(runner, seq) {
    this.store.put("servers", runner.id, {
      service: runner.service,
      address: runner.address,
      zone: runner.zone ?? "zone-0",
      version: "v1",
      slots: 64,
      state: "ready",
      coldLeftMs: 0,
      seq,
    });
  }

  #startHeartbeats(runner, delay) {
    let seq = 1;
    this.#timers.push(setTimeout(() => {
      this.#timers.push(setInterval(
        () => this.writeEntry(runner, ++seq),
        HEARTBEAT_MILLISECONDS,
      ));
    }, delay));
  }

  async stop(runners) {
    for (const timer of this.#timers) clearTimeout(timer);
    await Promise.all(this.daemons.map((daemon) => daemon.kill()));
    this.store.stop();
    for (const runner of runners) runner.stop();
    rmSync(this.#folder, { recursive: true, force: true });
    writeFileSync(this.#record, this.#lines.join(""));
  }
}

/** A manifest of one service and its routes. */
export function createConfiguration({ routes, services, version = 1 }) {
  return {
    version,
    routes: routes.map((route) => ({
      hostname: HOST,
      prefix: `/${route.name}/`,
      priority: 1,
      attempts: 1,
      sloMs: 1500,
      timeoutMs: 15000,
      ...route,
    })),
    services: services.map((name) => ({
      name,
      healthPath: "/health",
      maxConns: 360,
    })),
    limits: {
      headerBytes: 16384,
      bodyBytes: 4194304,
      headerTimeoutMs: 3000,
      idleTimeoutMs: 15000,
    },
    tenants: [{ name: "bozi300", apiKeys: [KEY], priority: 1 }],
  };
}

/** Exits with 1 if the rule was broken, 0 if not, 2 if the case couldn't run. */
export function runCase(play) {
  setTimeout(() => {
    console.error("the case takes too long");
    process.exit(2);
  }, MAXIMUM_RUN_MILLISECONDS).unref();
  play().then(
    (isBroken) => process.exit(isBroken ? 1 : 0),
    (error) => {
      console.error(error);
      process.exit(2);
    },
  );
}
