import type { TimerService } from "kelpspar-shared";
import type { SiteDaemon } from "../../site/site_daemon.ts";
import type { SiteEndpoint } from "../../site/site_endpoint.ts";
import type { ArmName } from "../arm.ts";
import type { SiteChanges } from "./site_changes.ts";
import { applyFirstConfiguration } from "../../site/apply_first_configuration.ts";
import { Site } from "../../site/site.ts";
import { ExecutionRecorder } from "../measure/execution_recorder.ts";
import { DaemonLogRecorder } from "../measure/daemon_log_recorder.ts";
import { RunnerTimeRecorder } from "../measure/runner_time_recorder.ts";
import {
  createConfiguration,
  OPERATOR_KEY,
} from "./experiment_configuration.ts";
import { createPools } from "./experiment_pools.ts";
import { createSitePlan } from "./create_site_plan.ts";
import { SiteFaults } from "./site_faults.ts";

/** Kill timeout of a stopping daemon; longer than any request's deadline. */
const STOP_LIMIT_MILLISECONDS = 20_000;

/** Options of `ExperimentSite`. */
export interface ExperimentSiteOptions {
  readonly arm: ArmName;
  readonly changes: SiteChanges;
  readonly seed: number;
  readonly timer: TimerService;
}

/** Result of stopping a site. */
export interface SiteStop {
  /** Names of the processes that had to be killed. */
  readonly killed: readonly string[];
  /** Stop time of the slowest daemon, in milliseconds. */
  readonly milliseconds: number;
}

/** The site of an experiment, with its recorders and fault injection. */
export class ExperimentSite {
  readonly executions: ExecutionRecorder;
  readonly runnerTime: RunnerTimeRecorder;
  readonly faults: SiteFaults;
  /** Warnings and errors of the daemons. */
  readonly logs = new DaemonLogRecorder();
  readonly arm: ArmName;
  /** Ports of daemons that were killed without warning. */
  readonly deadDaemonPorts = new Set<number>();
  readonly #site: Site;
  readonly #options: ExperimentSiteOptions;
  readonly #gone = new Set<string>();
  readonly #leaving = new Set<string>();

  constructor(options: ExperimentSiteOptions) {
    const { arm, timer } = options;
    this.arm = arm;
    this.#options = options;
    this.executions = new ExecutionRecorder(timer);
    this.runnerTime = new RunnerTimeRecorder((endpoint) =>
      this.#site.controlEndpoint(endpoint, {
        method: "GET",
        path: "/control/executions",
      })
    );
    this.#site = new Site(createSitePlan(options), { timer });
    this.faults = new SiteFaults(this.#site);
  }

  /** Starts all processes and waits until the configuration is in force. */
  async start(): Promise<void> {
    await this.#site.start();
    for (const endpoint of this.#site.endpoints) {
      this.executions.follow(endpoint);
    }
    for (const daemon of this.#site.daemons) this.logs.follow(daemon);
    await applyFirstConfiguration(this.#site, {
      timer: this.#options.timer,
      administratorKey: OPERATOR_KEY,
      configuration: createConfiguration(this.#options.changes.configuration),
    });
  }

  /** Daemons that were neither killed nor stopped. */
  get daemons(): readonly SiteDaemon[] {
    return this.#site.daemons.filter(({ id }) =>
      !this.#gone.has(id) && !this.#leaving.has(id)
    );
  }

  /** Endpoints that were not killed and are not leaving. */
  get endpoints(): readonly SiteEndpoint[] {
    return this.#site.endpoints.filter(({ id }) =>
      !this.#gone.has(id) && !this.#leaving.has(id)
    );
  }

  /** Live endpoints of a service. */
  endpointsOf(service: string): readonly SiteEndpoint[] {
    return this.endpoints.filter((endpoint) => endpoint.service === service);
  }

  /** Starts another daemon and adds it to the VM list. */
  async addDaemon(): Promise<SiteDaemon> {
    const daemon = await this.#site.startDaemon(this.#site.daemons.length);
    this.logs.follow(daemon);
    await this.#publish();
    return daemon;
  }

  /** Starts another endpoint of a service and adds it to the VM list. */
  async addEndpoint(service: string): Promise<SiteEndpoint> {
    const pool = createPools(this.#options.changes).find((candidate) =>
      candidate.service === service
    );
    if (pool === undefined) throw new Error(`No service "${service}"`);
    const index =
      this.#site.endpoints.filter((endpoint) => endpoint.service === service)
        .length;
    const endpoint = await this.#site.startEndpoint(pool, index);
    this.executions.follow(endpoint);
    await this.#publish();
    return endpoint;
  }

  /** Kills daemons without warning; the VM list shows it after its lag. */
  async killDaemons(daemons: readonly SiteDaemon[]): Promise<void> {
    for (const { id, port } of daemons) {
      this.#gone.add(id);
      this.deadDaemonPorts.add(port);
    }
    await Promise.all(daemons.map(({ process }) => process.kill()));
    await this.#publish();
  }

  /** Stops a daemon gracefully; returns its exit code. */
  async stopDaemon(daemon: SiteDaemon): Promise<number | null> {
    this.#leaving.add(daemon.id);
    await this.#publish();
    const { code } = await daemon.process.stop();
    this.#gone.add(daemon.id);
    await this.#publish();
    return code;
  }

  /** Kills endpoints without warning; the VM list shows it after its lag. */
  async killEndpoints(endpoints: readonly SiteEndpoint[]): Promise<void> {
    await Promise.all(
      endpoints.map((endpoint) => this.runnerTime.read(endpoint)),
    );
    for (const { id } of endpoints) this.#gone.add(id);
    await Promise.all(endpoints.map(({ process }) => process.kill()));
    await this.#publish();
  }

  /** Lists endpoints as leaving, without notifying the endpoints. */
  async listAsLeaving(endpoints: readonly SiteEndpoint[]): Promise<void> {
    for (const { id } of endpoints) this.#leaving.add(id);
    await this.#publish();
  }

  /** Drains endpoints: they finish their running calls and exit. */
  async leave(endpoints: readonly SiteEndpoint[]): Promise<void> {
    for (const { id } of endpoints) this.#leaving.add(id);
    await Promise.all(
      endpoints.map((endpoint) => this.runnerTime.read(endpoint)),
    );
    await Promise.all(
      endpoints.map((endpoint) =>
        this.#site.controlEndpoint(endpoint, {
          method: "POST",
          path: "/control/leave",
        })
      ),
    );
    await this.#publish();
    void Promise.all(
      endpoints.map((endpoint) => this.#followLeaving(endpoint)),
    );
  }

  /** Reads the runner time of all live endpoints. */
  async readRunnerTime(): Promise<void> {
    await Promise.all(
      this.endpoints.map((endpoint) => this.runnerTime.read(endpoint)),
    );
  }

  /**
   * Stops the daemons while the platform and the endpoints still run, then all
   * other processes.
   */
  async stop(): Promise<SiteStop> {
    const { timer } = this.#options;
    const startedAt = timer.now();
    const killed: string[] = [];
    await Promise.all(this.#site.daemons.map(async ({ id, process }) => {
      const stopTimer = timer.registerTimeout(() => {
        killed.push(id);
        void process.kill();
      }, STOP_LIMIT_MILLISECONDS);
      await process.stop();
      stopTimer();
    }));
    const milliseconds = timer.now() - startedAt;
    return { killed: [...killed, ...await this.#site.stop()], milliseconds };
  }

  /** Reads the runner time of a leaving endpoint until it exits. */
  async #followLeaving(endpoint: SiteEndpoint): Promise<void> {
    let isGone = false;
    void endpoint.process.exited.then(() => {
      isGone = true;
      this.#gone.add(endpoint.id);
    });
    while (!isGone) {
      await this.runnerTime.read(endpoint);
      await new Promise<void>((resolve) => {
        this.#options.timer.registerTimeout(resolve, 100);
      });
    }
    await this.#publish();
  }

  async #publish(): Promise<void> {
    await this.#site.publishVms({ gone: this.#gone, leaving: this.#leaving });
  }
}
