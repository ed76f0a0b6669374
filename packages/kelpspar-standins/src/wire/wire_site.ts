import { findFreePorts } from "./free_ports.ts";
import { LoopbackProxy } from "./loopback_proxy.ts";
import { RunnerStandIn } from "./runner_stand_in.ts";
import { StageRunnerStandIn } from "./stage_runner_stand_in.ts";
import { StoreStandIn } from "./store_stand_in.ts";

/** How large a site is and how long its work takes. */
export interface WireSiteOptions {
  readonly plainRunners?: number;
  readonly modelRunners?: number;
  readonly stageRunners?: number;
  /** What a stage call costs whatever it carries, milliseconds. */
  readonly callMilliseconds?: number;
  /** Pieces that a stage call takes. */
  readonly batch?: number;
  /** Results that a stage runner has room for. */
  readonly room?: number;
  /** Availability zones of runners, in turn. */
  readonly zones?: readonly string[];
  /** Requests a second that a cold runner bears; 0 for no limit. */
  readonly coldPerSecond?: number;
  /** Puts a proxy that harms connections before runners and store. */
  readonly proxied?: boolean;
}

const HOST = "site.example";
const PIECE_MILLISECONDS = 1;
const RESULT_BYTES = 1_000;
/** A runner that crashed is back after this time, milliseconds. */
const CRASHED_MILLISECONDS = 500;
const BYTES_PER_MEGABYTE = 1_000_000;

/**
 * A whole platform on loopback: store, runners of a plain service, of a model
 * and of one stage service, and a configuration that routes to them.
 */
export class WireSite {
  readonly host = HOST;
  readonly store = new StoreStandIn();
  readonly plain: readonly RunnerStandIn[];
  readonly models: readonly RunnerStandIn[];
  readonly stages: readonly StageRunnerStandIn[];
  /** Empty unless the site is proxied. */
  readonly proxies: LoopbackProxy[] = [];
  readonly #options: Required<WireSiteOptions>;
  /** Starts of runners that crashed and aren't back yet. */
  readonly #restarts = new Set<NodeJS.Timeout>();
  #storeAddress = "";
  #version = 1;
  /** What the operator and the runners wrote, by table and key. */
  readonly #written = new Map<string, readonly [string, string, object]>();
  /** Keys that are in force. */
  keys: readonly string[] = ["key-1", "key-2"];

  constructor(options: WireSiteOptions = {}) {
    this.#options = {
      plainRunners: 2,
      modelRunners: 2,
      stageRunners: 2,
      callMilliseconds: 20,
      batch: 6,
      room: 40,
      zones: ["a"],
      coldPerSecond: 0,
      proxied: false,
      ...options,
    };
    const { plainRunners, modelRunners, stageRunners } = this.#options;
    const create = (
      count: number,
      name: string,
      isStream: boolean,
    ): readonly RunnerStandIn[] =>
      Array.from(
        { length: count },
        (_, index) => new RunnerStandIn({ id: `${name}-${index}`, isStream }),
      );
    this.plain = create(plainRunners, "plain", false);
    this.models = create(modelRunners, "model", true);
    this.stages = Array.from(
      { length: stageRunners },
      (_, index) =>
        new StageRunnerStandIn({
          id: `stage-${index}`,
          callMilliseconds: this.#options.callMilliseconds,
          pieceMilliseconds: PIECE_MILLISECONDS,
          room: this.#options.room,
          resultBytes: RESULT_BYTES,
        }),
    );
  }

  async start(): Promise<void> {
    this.#storeAddress = await this.#reach(await this.store.start());
    await this.#list("plain", this.plain);
    await this.#list("model", this.models);
    await this.#list("stage", this.stages);
    this.publish();
  }

  stop(): void {
    for (const restart of this.#restarts) clearTimeout(restart);
    for (const proxy of this.proxies) proxy.stop();
    this.store.stop();
    for (const one of [...this.plain, ...this.models, ...this.stages]) {
      one.stop();
    }
  }

  /** Writes the next version of the configuration. */
  publish(): void {
    this.#write("op", "config", this.#configuration(this.#version++));
  }

  /** Asks that nothing more be sent to the runners of a zone. */
  evacuate(zone: string): void {
    this.#write("op", `evacuate/${zone}`, {});
  }

  takeBack(zone: string): void {
    this.#remove("op", `evacuate/${zone}`);
  }

  /** Lets a runner say that it is cold for so long. */
  becomeCold(runnerId: string, coldLeftMs: number): void {
    const [, , entry] = this.#written.get(`servers/${runnerId}`) ?? [];
    this.#write("servers", runnerId, { ...entry, coldLeftMs });
  }

  /** Writes again what the store lost, as the operator and runners do. */
  writeAgain(): void {
    for (const [table, key, value] of this.#written.values()) {
      if (!this.store.holds(table, key, value)) {
        this.store.put(table, key, value);
      }
    }
  }

  /** What runners of a service wrote last of themselves. */
  entriesOf(
    service: string,
  ): readonly { readonly key: string; readonly value: object }[] {
    return [...this.#written.values()]
      .filter(([table, key]) =>
        table === "servers" && key.startsWith(`${service}-`)
      )
      .map(([, key, value]) => ({ key, value }));
  }

  #write(table: string, key: string, value: object): void {
    this.#written.set(`${table}/${key}`, [table, key, value]);
    this.store.put(table, key, value);
  }

  /** Settings of a daemon; addresses are free ones of loopback. */
  async createSettings(
    nodeName: string,
    seeds: readonly string[] = [],
  ): Promise<Readonly<Record<string, unknown>>> {
    const ports = await findFreePorts(5);
    const [front, ready, control, directory, metrics] = ports;
    return {
      nodeName,
      ip: "127.0.0.1",
      zone: "a",
      seeds,
      listen: {
        front: `127.0.0.1:${front}`,
        ready: `127.0.0.1:${ready}`,
        control: `127.0.0.1:${control}`,
        directory: `127.0.0.1:${directory}`,
      },
      bounds: {
        graceS: 3,
        retryBudgetRatio: 0.2,
        budgetSlack: 50,
        budgetWindowS: 10,
        ttl_max_s: 5,
      },
      provider: { address: this.#storeAddress },
      metricsPort: metrics,
    };
  }

  /** The address by which daemons reach what listens at `address`. */
  async #reach(address: string): Promise<string> {
    if (!this.#options.proxied) return address;
    const proxy = new LoopbackProxy(address);
    this.proxies.push(proxy);
    return await proxy.start();
  }

  async #list(
    service: string,
    runners: readonly { start(): Promise<string> }[],
  ): Promise<void> {
    const { zones } = this.#options;
    for (const [index, runner] of runners.entries()) {
      const zone = zones[index % zones.length] ?? "a";
      const runnerAddress = await runner.start();
      const address = await this.#reach(runnerAddress);
      const proxy = address === runnerAddress ? undefined : this.proxies.at(-1);
      const write = (id: string): void => {
        this.#write("servers", id, {
          service,
          address,
          zone,
          version: "v1",
          slots: 4,
          state: "ready",
          coldLeftMs: 0,
          seq: 1,
        });
      };
      write(`${service}-${index}`);
      if (!(runner instanceof RunnerStandIn)) continue;
      this.#watchCrashes(runner, { proxy, write });
    }
  }

  /** Starts a runner that crashed again, under a new id. */
  #watchCrashes(
    runner: RunnerStandIn,
    { proxy, write }: {
      readonly proxy: LoopbackProxy | undefined;
      readonly write: (id: string) => void;
    },
  ): void {
    runner.onCrash = () => {
      runner.crash();
      proxy?.refuse();
      const restart = setTimeout(() => {
        this.#restarts.delete(restart);
        this.#remove("servers", runner.id);
        runner.startAgain();
        proxy?.acceptAgain();
        write(runner.id);
      }, CRASHED_MILLISECONDS);
      this.#restarts.add(restart);
    };
  }

  #remove(table: string, key: string): void {
    this.#written.delete(`${table}/${key}`);
    this.store.remove(table, key);
  }

  #configuration(version: number): object {
    const { batch, callMilliseconds, room, coldPerSecond } = this.#options;
    const route = (name: string, kind: string, fields: object): object => ({
      name,
      hostname: HOST,
      prefix: `/${name}/`,
      kind,
      timeoutMs: 3_000,
      sloMs: 1_000,
      priority: 1,
      attempts: 1,
      service: "plain",
      ...fields,
    });
    const stages = [
      { service: "stage", after: [], bytes: RESULT_BYTES },
      { service: "stage", after: [0], bytes: RESULT_BYTES },
    ];
    return {
      version,
      routes: [
        route("once", "non_idempotent", {}),
        route("often", "idempotent", { attempts: 2 }),
        route("stream", "streaming", { service: "model", stages }),
        route("resumed", "streaming", {
          service: "model",
          attempts: 2,
          resumable: true,
          stages,
        }),
      ],
      services: [
        {
          name: "plain",
          healthPath: "/health",
          maxConns: 100,
          coldPerS: coldPerSecond,
        },
        {
          name: "model",
          healthPath: "/health",
          maxConns: 100,
          engine: { slots: 8 },
        },
        {
          name: "stage",
          healthPath: "/health",
          maxConns: 100,
          pieces: {
            slots: 1,
            queue: 2,
            batch,
            callMs: callMilliseconds,
            itemMs: PIECE_MILLISECONDS,
            headroomMb: room * RESULT_BYTES / BYTES_PER_MEGABYTE,
            handleS: 4,
          },
        },
      ],
      limits: {
        headerBytes: 16_384,
        bodyBytes: 1_000_000,
        headerTimeoutMs: 3_000,
        idleTimeoutMs: 15_000,
      },
      tenants: [{ name: "acme", apiKeys: this.keys, priority: 1 }],
    };
  }
}
