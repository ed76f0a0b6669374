import type { ListedVm } from "kelpspar-backends";
import type { TimerService } from "kelpspar-shared";
import type { SiteDaemon } from "./site_daemon.ts";
import type { SiteEndpoint } from "./site_endpoint.ts";
import type { PoolPlan, SitePlan } from "./site_plan.ts";
import { mkdtempSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { JsonHttpClient } from "kelpspar-backends";
import { sha256 } from "kelpspar-shared";
import { ProcessGroup } from "../process/process_group.ts";
import { PROGRAMS } from "./programs.ts";

const ADDRESS = "127.0.0.1";
const STOP_TIMEOUT_MILLISECONDS = 20_000;
const PEER_SECRET = "sample-peer-secret-of-a-site";
/** The operator key that applies a site's first configuration. */
export const BOOTSTRAP_KEY = "sample-bootstrap-operator-key";

/**
 * A complete site in separate processes on loopback: the platform's stand-in,
 * endpoints and daemons. For examples and tests only: the product itself starts
 * no process.
 */
export class Site {
  readonly #plan: SitePlan;
  readonly #timer: TimerService;
  readonly #group: ProcessGroup;
  readonly #folder = mkdtempSync(join(tmpdir(), "kelpspar-site-"));
  readonly endpoints: SiteEndpoint[] = [];
  readonly daemons: SiteDaemon[] = [];
  #ports: Readonly<Record<string, number>> = {};

  constructor(plan: SitePlan, options: { readonly timer: TimerService }) {
    this.#plan = plan;
    this.#timer = options.timer;
    this.#group = new ProcessGroup(options);
  }

  /** Starts all processes, but does not apply the configuration. */
  async start(): Promise<void> {
    const platform = await this.#group.start({
      program: PROGRAMS.platform,
      settings: { seed: this.#plan.seed, ...this.#plan.platform },
    });
    this.#ports = platform.listening as Readonly<Record<string, number>>;
    for (const pool of this.#plan.pools) {
      await Promise.all(
        Array.from(
          { length: pool.count },
          (_, index) => this.startEndpoint(pool, index),
        ),
      );
    }
    for (let index = 0; index < this.#plan.daemons; index++) {
      await this.startDaemon(index);
    }
    await this.publishVms();
  }

  /** Starts one endpoint of a pool. */
  async startEndpoint(pool: PoolPlan, index: number): Promise<SiteEndpoint> {
    const id = `${pool.service}-${index}`;
    const process = await this.#group.start({
      name: id,
      program: PROGRAMS.endpoint,
      settings: {
        ...pool.settings,
        service: pool.service,
        seed: this.#plan.seed * 1_000 + this.endpoints.length,
      },
    });
    const endpoint: SiteEndpoint = {
      id,
      service: pool.service,
      availabilityZone: this.#zoneOf(index),
      port: Number(process.listening["port"]),
      incarnation: String(process.listening["incarnation"]),
      checksFencing: pool.checksFencing ?? true,
      process,
    };
    this.endpoints.push(endpoint);
    return endpoint;
  }

  /** Starts one daemon. */
  async startDaemon(index: number): Promise<SiteDaemon> {
    const id = `daemon-${index}`;
    const file = join(this.#folder, `${id}-${this.daemons.length}.json`);
    writeFileSync(file, JSON.stringify(this.#daemonSettings(id, index)));
    const process = await this.#group.start({
      name: id,
      program: this.#plan.daemonProgram ?? PROGRAMS.daemon,
      arguments: ["--settings", file],
      nodeArguments: this.#plan.daemonNodeArguments ?? [],
    });
    const listening = process.listening;
    const daemon: SiteDaemon = {
      id,
      availabilityZone: this.#zoneOf(index),
      port: Number(listening["port"]),
      incarnation: String(listening["incarnation"]),
      process,
    };
    this.daemons.push(daemon);
    return daemon;
  }

  /** Publishes all endpoints and daemons to the VM list, except `gone` ones. */
  async publishVms(
    options: {
      readonly leaving?: ReadonlySet<string>;
      readonly gone?: ReadonlySet<string>;
    } = {},
  ): Promise<void> {
    const vms: ListedVm[] = [
      ...this.endpoints.map((endpoint) => ({
        ...this.#toVmFields(endpoint),
        kind: "endpoint" as const,
        service: endpoint.service,
        checksFencing: endpoint.checksFencing,
      })),
      ...this.daemons.map((daemon) => ({
        ...this.#toVmFields(daemon),
        kind: "daemon" as const,
        service: "",
        checksFencing: false,
      })),
    ].filter((vm) => !options.gone?.has(vm.id)).map((vm) => ({
      ...vm,
      state: options.leaving?.has(vm.id) ? "leaving" : "live",
    }));
    await this.control("vms", {
      method: "POST",
      path: "/v1/vms",
      body: { vms },
    });
  }

  /** Sends a JSON request to a service of the platform. */
  async control(
    part: "table" | "objects" | "weights" | "vms",
    exchange: {
      readonly method: "GET" | "POST";
      readonly path: string;
      readonly body?: unknown;
    },
  ): Promise<unknown> {
    return await this.#exchange(Number(this.#ports[part]), exchange);
  }

  /** Sends a JSON request to an endpoint's control interface. */
  async controlEndpoint(
    endpoint: SiteEndpoint,
    exchange: {
      readonly method: "GET" | "POST";
      readonly path: string;
      readonly body?: unknown;
    },
  ): Promise<unknown> {
    return await this.#exchange(endpoint.port, exchange);
  }

  /**
   * Stops all processes gracefully, daemons first, because they still need the
   * endpoints and the platform. Returns the names of processes that were killed.
   */
  async stop(): Promise<readonly string[]> {
    const daemons = this.daemons.map((daemon) => daemon.process.stop());
    let stopTimer = (): void => {};
    const limit = new Promise<void>((resolve) => {
      stopTimer = this.#timer.registerTimeout(
        resolve,
        STOP_TIMEOUT_MILLISECONDS,
      );
    });
    await Promise.race([Promise.all(daemons), limit]);
    stopTimer();
    return this.#group.stopAll();
  }

  #daemonSettings(id: string, index: number): unknown {
    const origin = (part: string): string =>
      `http://${ADDRESS}:${this.#ports[part]}`;
    return {
      daemonId: id,
      address: ADDRESS,
      port: 0,
      availabilityZone: this.#zoneOf(index),
      platform: {
        tableOrigin: origin("table"),
        objectOrigin: origin("objects"),
        weightOrigin: origin("weights"),
        vmListOrigin: origin("vms"),
      },
      seeds: this.daemons.map((daemon) => `${ADDRESS}:${daemon.port}`),
      peerSecret: PEER_SECRET,
      bootstrapOperatorKeyHash: sha256(BOOTSTRAP_KEY),
      log: { level: "warn" },
      ...this.#plan.daemonSettings,
    };
  }

  #zoneOf(index: number): string {
    const zones = this.#plan.availabilityZones;
    return zones[index % zones.length] ?? "a";
  }

  #toVmFields(
    part: SiteEndpoint | SiteDaemon,
  ): Pick<
    ListedVm,
    "id" | "incarnation" | "address" | "port" | "availabilityZone"
  > {
    return {
      id: part.id,
      incarnation: part.incarnation,
      address: ADDRESS,
      port: part.port,
      availabilityZone: part.availabilityZone,
    };
  }

  async #exchange(
    port: number,
    exchange: {
      readonly method: "GET" | "POST";
      readonly path: string;
      readonly body?: unknown;
    },
  ): Promise<unknown> {
    const client = new JsonHttpClient({
      origin: `http://${ADDRESS}:${port}`,
      timer: this.#timer,
    });
    try {
      return (await client.exchange(exchange)).body;
    } finally {
      await client.close();
    }
  }
}
