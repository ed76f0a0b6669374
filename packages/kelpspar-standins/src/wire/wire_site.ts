import type { WireRouteOptions } from "./wire_route_options.ts";
import { findFreePorts } from "./free_ports.ts";
import { LoopbackProxy } from "./loopback_proxy.ts";
import { RunnerStandIn } from "./runner_stand_in.ts";
import { StageRunnerStandIn } from "./stage_runner_stand_in.ts";
import { StoreStandIn } from "./store_stand_in.ts";

/** A stage service, with one stage on the streaming routes. */
export interface StageServiceOptions {
  readonly name: string;
  readonly runners: number;
  /** Maximum number of pieces in a call. */
  readonly batch: number;
  /** Number of results that a runner's memory holds; default that of the site. */
  readonly room?: number;
}

/** A service of model runners. */
export interface ModelServiceOptions {
  readonly name: string;
  readonly runners: number;
}

/** Size, timing and limits of a site. */
export interface WireSiteOptions {
  readonly plainRunners?: number;
  /** Model runners of the service `model`, unless `modelServices` is set. */
  readonly modelRunners?: number;
  /** Default one service named `model`, which the streaming routes need. */
  readonly modelServices?: readonly ModelServiceOptions[];
  readonly stageRunners?: number;
  /** Fixed time of a stage call, milliseconds. */
  readonly callMilliseconds?: number;
  /** Time that each piece adds to a stage call, milliseconds. */
  readonly pieceMilliseconds?: number;
  /** Share of the time of stage calls that the configuration states. */
  readonly statedShare?: number;
  /** Maximum number of pieces in a stage call. */
  readonly batch?: number;
  /** Number of results that a stage runner's memory holds. */
  readonly room?: number;
  /**
   * Stage services of the streaming routes, each of which reads the results of
   * the one before; default one service with two stages.
   */
  readonly stageServices?: readonly StageServiceOptions[];
  /** Routes besides those that every site has; default none. */
  readonly routes?: readonly WireRouteOptions[];
  /** Software versions, assigned to model runners in rotation. */
  readonly modelVersions?: readonly string[];
  /** Whether events of model runners contain the runner's id. */
  readonly hasSignedEvents?: boolean;
  /** Number of requests that a runner says it runs at the same time. */
  readonly slots?: number;
  /** Whether the coordinator places requests at model runners. */
  readonly hasEngines?: boolean;
  /** Time between two events of a stream. */
  readonly eventMilliseconds?: number;
  /** Availability zones, assigned to runners in rotation. */
  readonly zones?: readonly string[];
  /** Limit of requests per second to a cold runner; 0 for none. */
  readonly coldPerSecond?: number;
  /** Time until a crashed runner restarts. */
  readonly restartMilliseconds?: number;
  /** Timeout of all routes, milliseconds. */
  readonly timeoutMilliseconds?: number;
  /** Time until the first byte that routes aim at, milliseconds. */
  readonly objectiveMilliseconds?: number;
  /** Time from SIGTERM until a daemon is killed, seconds. */
  readonly graceSeconds?: number;
  /** Additional retries that the fleet may make within 10 s. */
  readonly retrySlack?: number;
  /** Number of endpoints that an idempotent request may run at. */
  readonly attempts?: number;
  /** Whether a fault-injecting proxy precedes each runner and the store. */
  readonly hasProxies?: boolean;
  /** Limit of callers' bodies. */
  readonly bodyBytes?: number;
  /** Limits of each daemon's process; default none. */
  readonly processLimits?: {
    readonly memoryMegabytes?: number;
    readonly descriptors?: number;
  };
}

/** A runner that can be listed. */
interface RegisteredRunner {
  readonly version?: string;
  start(): Promise<string>;
}

/** Limits for the retries of all daemons of a site. */
export const RETRY_LIMITS = {
  ratio: 0.2,
  slack: 50,
  windowMilliseconds: 10_000,
};
/** Time within which an accepted configuration must be in force. */
export const CONFIGURATION_APPLY_MILLISECONDS = 2_000;
const HOST = "site.example";
const DEFAULT_MODEL_SERVICE = "model";
const RESULT_BYTES = 1_000;
const BYTES_PER_MEGABYTE = 1_000_000;
const MILLISECONDS_PER_SECOND = 1_000;

/**
 * A complete platform on loopback: a store, runners of a plain service, of a
 * model and of a stage service, and a configuration that routes to them.
 */
export class WireSite {
  readonly host = HOST;
  readonly store = new StoreStandIn();
  readonly plain: readonly RunnerStandIn[];
  readonly models: RunnerStandIn[];
  /** Model runners by service. */
  readonly modelsOf: ReadonlyMap<string, readonly RunnerStandIn[]>;
  readonly stages: readonly StageRunnerStandIn[];
  /** Stage runners by service. */
  readonly stagesOf: ReadonlyMap<string, readonly StageRunnerStandIn[]>;
  /** Empty unless `hasProxies` is set. */
  readonly proxies: LoopbackProxy[] = [];
  #options: Required<WireSiteOptions>;
  /** Pending restarts of crashed runners, and entries to be written. */
  readonly #restarts = new Set<NodeJS.Timeout>();
  #storeAddress = "";
  #version = 1;
  /** When an entry was last drained or removed, monotonic milliseconds. */
  lastLeavingAt = Number.NEGATIVE_INFINITY;
  /** Rows written by the operator and the runners, by table and key. */
  readonly #written = new Map<string, readonly [string, string, object]>();
  /** Writes the row of a runner under its current id. */
  readonly #writeRows = new Map<
    RunnerStandIn | StageRunnerStandIn,
    () => void
  >();
  /** API keys in the configuration. */
  keys: readonly string[] = ["key-1", "key-2"];

  constructor(options: WireSiteOptions = {}) {
    this.#options = {
      plainRunners: 2,
      modelRunners: 2,
      modelServices: [],
      stageRunners: 2,
      callMilliseconds: 20,
      pieceMilliseconds: 1,
      statedShare: 1,
      batch: 6,
      room: 40,
      stageServices: [],
      routes: [],
      modelVersions: [],
      hasSignedEvents: false,
      slots: 4,
      hasEngines: true,
      eventMilliseconds: 5,
      zones: ["a"],
      coldPerSecond: 0,
      restartMilliseconds: 500,
      timeoutMilliseconds: 3_000,
      objectiveMilliseconds: 1_000,
      graceSeconds: 3,
      retrySlack: RETRY_LIMITS.slack,
      attempts: 2,
      hasProxies: false,
      bodyBytes: 1_000_000,
      processLimits: {},
      ...options,
    };
    const { plainRunners } = this.#options;
    this.plain = Array.from(
      { length: plainRunners },
      (_, index) =>
        new RunnerStandIn({ id: `plain-${index}`, isStream: false }),
    );
    this.modelsOf = new Map(
      this.#modelServices.map(({ name, runners }) => [
        name,
        this.#createModelRunners(name, runners),
      ]),
    );
    this.models = [...this.modelsOf.values()].flat();
    this.stagesOf = new Map(
      this.#stageServices.map(({ name, runners, room: serviceRoom }) => [
        name,
        this.#createStageRunners(name, runners, serviceRoom),
      ]),
    );
    this.stages = [...this.stagesOf.values()].flat();
  }

  async start(): Promise<void> {
    this.#storeAddress = await this.#exposeAddress(await this.store.start());
    await this.#registerRunners("plain", this.plain);
    for (const [name, runners] of [...this.modelsOf, ...this.stagesOf]) {
      await this.#registerRunners(name, runners);
    }
    this.publish();
  }

  stop(): void {
    for (const restart of this.#restarts) clearTimeout(restart);
    for (const proxy of this.proxies) proxy.stop();
    this.store.stop();
    for (const runner of [...this.plain, ...this.models, ...this.stages]) {
      runner.stop();
    }
  }

  /** Writes the next version of the configuration, with these changes. */
  publish(changes: Pick<WireSiteOptions, "timeoutMilliseconds"> = {}): void {
    this.#options = { ...this.#options, ...changes };
    this.#write("op", "config", this.#configuration(this.#version++));
  }

  /** Requests that daemons send nothing more to the runners of a zone. */
  evacuate(zone: string): void {
    this.#write("op", `evacuate/${zone}`, {});
  }

  cancelEvacuation(zone: string): void {
    this.#remove("op", `evacuate/${zone}`);
  }

  /** Reports that a runner leaves. */
  drain(runnerId: string): void {
    this.lastLeavingAt = performance.now();
    const [, , entry] = this.#written.get(`servers/${runnerId}`) ?? [];
    this.#write("servers", runnerId, { ...entry, state: "draining" });
  }

  /** Removes a runner's entry; the runner itself goes on. */
  removeEntry(runnerId: string): void {
    this.lastLeavingAt = performance.now();
    this.#remove("servers", runnerId);
  }

  /** Starts another model runner while the site runs. */
  async addModel(version: string): Promise<RunnerStandIn> {
    const index = this.models.length;
    const model = this.#createModel(`model-${index}`, version);
    this.models.push(model);
    await this.#registerRunner(DEFAULT_MODEL_SERVICE, model, index);
    return model;
  }

  /** Marks a runner as cold for this time. */
  setCold(runnerId: string, coldLeftMs: number): void {
    const [, , entry] = this.#written.get(`servers/${runnerId}`) ?? [];
    this.#write("servers", runnerId, { ...entry, coldLeftMs });
  }

  /** Rewrites rows that the store lost, as the operator and runners do. */
  rewriteLostRows(): void {
    for (const [table, key, value] of this.#written.values()) {
      if (!this.store.hasRow(table, key, value)) {
        this.store.put(table, key, value);
      }
    }
  }

  /** The latest rows of a service's runners. */
  runnerRowsOf(
    service: string,
  ): readonly { readonly key: string; readonly value: object }[] {
    return [...this.#written.values()]
      .filter(([table, key]) =>
        table === "servers" && key.startsWith(`${service}-`)
      )
      .map(([, key, value]) => ({ key, value }));
  }

  /** Addresses of all runners as daemons know them, `address:port`. */
  get runnerAddresses(): readonly string[] {
    const services = [
      "plain",
      ...this.modelsOf.keys(),
      ...this.stagesOf.keys(),
    ];
    return services.flatMap((service) =>
      this.runnerRowsOf(service).map(({ value }) =>
        (value as { readonly address: string }).address
      )
    );
  }

  /** Address of the store as daemons know it, `address:port`. */
  get storeAddress(): string {
    return this.#storeAddress;
  }

  get #stageServices(): readonly StageServiceOptions[] {
    const { stageServices, stageRunners, batch } = this.#options;
    return stageServices.length > 0
      ? stageServices
      : [{ name: "stage", runners: stageRunners, batch }];
  }

  get #modelServices(): readonly ModelServiceOptions[] {
    const { modelServices, modelRunners } = this.#options;
    return modelServices.length > 0
      ? modelServices
      : [{ name: DEFAULT_MODEL_SERVICE, runners: modelRunners }];
  }

  #createModelRunners(name: string, count: number): readonly RunnerStandIn[] {
    const { modelVersions } = this.#options;
    return Array.from(
      { length: count },
      (_, index) =>
        this.#createModel(
          `${name}-${index}`,
          modelVersions[index % Math.max(1, modelVersions.length)],
        ),
    );
  }

  #createModel(id: string, version: string | undefined): RunnerStandIn {
    return new RunnerStandIn({
      id,
      isStream: true,
      delayMilliseconds: this.#options.eventMilliseconds,
      version,
      hasSignedEvents: this.#options.hasSignedEvents,
    });
  }

  #createStageRunners(
    name: string,
    count: number,
    room = this.#options.room,
  ): readonly StageRunnerStandIn[] {
    const { callMilliseconds, pieceMilliseconds } = this.#options;
    return Array.from(
      { length: count },
      (_, index) =>
        new StageRunnerStandIn({
          id: `${name}-${index}`,
          callMilliseconds,
          pieceMilliseconds,
          room,
          resultBytes: RESULT_BYTES,
        }),
    );
  }

  #write(table: string, key: string, value: object): void {
    this.#written.set(`${table}/${key}`, [table, key, value]);
    this.store.put(table, key, value);
  }

  /** Creates the settings of a daemon, with free loopback ports. */
  async createSettings(
    nodeName: string,
    seeds: readonly string[] = [],
    zone = "a",
  ): Promise<Readonly<Record<string, unknown>>> {
    const ports = await findFreePorts(5);
    const [front, ready, control, directory, metrics] = ports;
    const { memoryMegabytes, descriptors } = this.#options.processLimits;
    return {
      nodeName,
      ip: "127.0.0.1",
      zone,
      seeds,
      listen: {
        front: `127.0.0.1:${front}`,
        ready: `127.0.0.1:${ready}`,
        control: `127.0.0.1:${control}`,
        directory: `127.0.0.1:${directory}`,
      },
      bounds: {
        graceS: this.#options.graceSeconds,
        retryBudgetRatio: RETRY_LIMITS.ratio,
        budgetSlack: this.#options.retrySlack,
        budgetWindowS: RETRY_LIMITS.windowMilliseconds /
          MILLISECONDS_PER_SECOND,
        ttl_max_s: 5,
        configApplyMs: CONFIGURATION_APPLY_MILLISECONDS,
      },
      limits: { memoryMb: memoryMegabytes, maxFds: descriptors },
      provider: { address: this.#storeAddress },
      metricsPort: metrics,
    };
  }

  /** The address for daemons: a proxy of `address`, or `address` itself. */
  async #exposeAddress(address: string): Promise<string> {
    if (!this.#options.hasProxies) return address;
    const proxy = new LoopbackProxy(address);
    this.proxies.push(proxy);
    return await proxy.start();
  }

  async #registerRunners(
    service: string,
    runners: readonly RegisteredRunner[],
  ): Promise<void> {
    for (const [index, runner] of runners.entries()) {
      await this.#registerRunner(service, runner, index);
    }
  }

  async #registerRunner(
    service: string,
    runner: RegisteredRunner,
    index: number,
  ): Promise<void> {
    const { zones, slots } = this.#options;
    const zone = zones[index % zones.length] ?? "a";
    const runnerAddress = await runner.start();
    const address = await this.#exposeAddress(runnerAddress);
    const proxy = address === runnerAddress ? undefined : this.proxies.at(-1);
    const write = (id: string): void => {
      this.#write("servers", id, {
        service,
        address,
        zone,
        version: runner.version ?? "v1",
        slots,
        state: "ready",
        coldLeftMs: 0,
        seq: 1,
      });
    };
    write(`${service}-${index}`);
    const isKnown = runner instanceof RunnerStandIn ||
      runner instanceof StageRunnerStandIn;
    if (isKnown) this.#writeRows.set(runner, () => write(runner.id));
    if (runner instanceof RunnerStandIn) {
      this.#restartOnCrash(runner, { proxy, write });
    }
  }

  /** Restarts a stage runner under a new id, without its results. */
  restartStage(stage: StageRunnerStandIn): void {
    this.#remove("servers", stage.id);
    stage.restart();
    this.#writeRows.get(stage)?.();
  }

  /**
   * Replaces a runner by another one at the same address, which daemons know
   * under the former id until its entry is written.
   */
  replace(
    runner: RunnerStandIn | StageRunnerStandIn,
    entryMilliseconds: number,
  ): void {
    const formerId = runner.id;
    runner.replace();
    const write = setTimeout(() => {
      this.#restarts.delete(write);
      this.#remove("servers", formerId);
      this.#writeRows.get(runner)?.();
    }, entryMilliseconds);
    this.#restarts.add(write);
  }

  /** Restarts a runner after each crash, under a new id. */
  #restartOnCrash(
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
        runner.restart();
        proxy?.resumeListening();
        write(runner.id);
      }, this.#options.restartMilliseconds);
      this.#restarts.add(restart);
    };
  }

  #remove(table: string, key: string): void {
    this.#written.delete(`${table}/${key}`);
    this.store.remove(table, key);
  }

  #configuration(version: number): object {
    const { callMilliseconds, room, coldPerSecond, hasEngines } = this.#options;
    const { timeoutMilliseconds, attempts, routes, bodyBytes } = this.#options;
    const { objectiveMilliseconds, pieceMilliseconds, statedShare } =
      this.#options;
    const route = (name: string, kind: string, fields: object): object => ({
      name,
      hostname: HOST,
      prefix: `/${name}/`,
      kind,
      timeoutMs: timeoutMilliseconds,
      sloMs: objectiveMilliseconds,
      priority: 1,
      attempts: 1,
      service: "plain",
      ...fields,
    });
    const services = this.#stageServices.map(({ name }) => name);
    const [only] = services;
    const stages = (services.length === 1 ? [only, only] : services)
      .map((service, number) => ({
        service,
        after: number === 0 ? [] : [number - 1],
        bytes: RESULT_BYTES,
      }));
    return {
      version,
      routes: [
        route("once", "non_idempotent", {}),
        route("often", "idempotent", { attempts }),
        route("stream", "streaming", { service: "model", stages }),
        route("resumed", "streaming", {
          service: "model",
          attempts: 2,
          resumable: true,
          stages,
        }),
        ...routes.map(({ name, kind, ...fields }) =>
          route(name, kind, {
            service: fields.service,
            attempts: fields.attempts,
            resumable: fields.isResumable,
            priority: fields.priority,
            sloMs: fields.objectiveMilliseconds,
            stages: fields.stages.map(({ service, after }) => ({
              service,
              after,
              bytes: RESULT_BYTES,
            })),
          })
        ),
      ],
      services: [
        {
          name: "plain",
          healthPath: "/health",
          maxConns: 100,
          coldPerS: coldPerSecond,
        },
        ...this.#modelServices.map(({ name }) => ({
          name,
          healthPath: "/health",
          maxConns: 100,
          ...(hasEngines ? { engine: { slots: 8 } } : {}),
        })),
        ...this.#stageServices.map(({ name, batch, room: serviceRoom }) => ({
          name,
          healthPath: "/health",
          maxConns: 100,
          pieces: {
            slots: 1,
            queue: 2,
            batch,
            callMs: Math.round(callMilliseconds * statedShare),
            itemMs: Math.round(pieceMilliseconds * statedShare),
            headroomMb: (serviceRoom ?? room) * RESULT_BYTES /
              BYTES_PER_MEGABYTE,
            handleS: 4,
          },
        })),
      ],
      limits: {
        headerBytes: 16_384,
        bodyBytes,
        headerTimeoutMs: 3_000,
        idleTimeoutMs: 15_000,
      },
      tenants: [{ name: "acme", apiKeys: this.keys, priority: 1 }],
    };
  }
}
