import type { TimerService } from "kelpspar-shared";
import type { SiteDaemon } from "../../site/site_daemon.ts";
import type { SiteEndpoint } from "../../site/site_endpoint.ts";
import type { ArmName } from "../arm.ts";
import type { SiteChanges } from "./site_changes.ts";
import { applyFirstConfiguration } from "../../site/apply_first_configuration.ts";
import { Site } from "../../site/site.ts";
import { ExecutionBook } from "../measure/execution_recorder.ts";
import { LogBook } from "../measure/daemon_log_recorder.ts";
import { RunnerTimeBook } from "../measure/runner_time_recorder.ts";
import {
  createConfiguration,
  OPERATOR_KEY,
} from "./experiment_configuration.ts";
import { createPools } from "./experiment_pools.ts";
import { createSitePlan } from "./create_site_plan.ts";
import { SiteFaults } from "./site_faults.ts";

/** Longer than any request's deadline. */
const STOP_LIMIT_MILLISECONDS = 20_000;

/** How an experiment's site is started. */
export interface ExperimentSiteOptions {
  readonly arm: ArmName;
  readonly changes: SiteChanges;
  readonly seed: number;
  readonly timer: TimerService;
}

/** How a site stopped. */
export interface SiteStop {
  /** Names of what had to be killed. */
  readonly killed: readonly string[];
  /** How long the slowest daemon took, milliseconds. */
  readonly milliseconds: number;
}

/** A site under experiment, what ran on it, and the faults put to it. */
export class ExperimentSite {
  readonly executions: ExecutionBook;
  readonly runnerTime: RunnerTimeBook;
  readonly faults: SiteFaults;
  /** What the daemons warned of. */
  readonly logs = new LogBook();
  readonly arm: ArmName;
  /** Ports of daemons that died without warning. */
  readonly deadDaemonPorts = new Set<number>();
  readonly #site: Site;
  readonly #options: ExperimentSiteOptions;
  readonly #gone = new Set<string>();
  readonly #leaving = new Set<string>();

  constructor(options: ExperimentSiteOptions) {
    const { arm, timer } = options;
    this.arm = arm;
    this.#options = options;
    this.executions = new ExecutionBook(timer);
    this.runnerTime = new RunnerTimeBook((endpoint) =>
      this.#site.controlEndpoint(endpoint, {
        method: "GET",
        path: "/control/executions",
      })
    );
    this.#site = new Site(createSitePlan(options), { timer });
    this.faults = new SiteFaults(this.#site);
  }

  /** Starts everything and waits until it serves. */
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

  /** Daemons that were not killed or stopped. */
  get daemons(): readonly SiteDaemon[] {
    return this.#site.daemons.filter(({ id }) =>
      !this.#gone.has(id) && !this.#leaving.has(id)
    );
  }

  /** Endpoints that were not killed and do not leave. */
  get endpoints(): readonly SiteEndpoint[] {
    return this.#site.endpoints.filter(({ id }) =>
      !this.#gone.has(id) && !this.#leaving.has(id)
    );
  }

  /** Live endpoints of a service. */
  endpointsOf(service: string): readonly SiteEndpoint[] {
    return this.endpoints.filter((endpoint) => endpoint.service === service);
  }

  /** Starts a further daemon and lists it. */
  async addDaemon(): Promise<SiteDaemon> {
    const daemon = await this.#site.startDaemon(this.#site.daemons.length);
    this.logs.follow(daemon);
    await this.#publish();
    return daemon;
  }

  /** Starts a further endpoint of a service and lists it. */
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

  /** Kills daemons without warning; the VM list tells after its lag. */
  async killDaemons(daemons: readonly SiteDaemon[]): Promise<void> {
    for (const { id, port } of daemons) {
      this.#gone.add(id);
      this.deadDaemonPorts.add(port);
    }
    await Promise.all(daemons.map(({ process }) => process.kill()));
    await this.#publish();
  }

  /** Stops a daemon as planned; returns its exit code. */
  async stopDaemon(daemon: SiteDaemon): Promise<number | null> {
    this.#leaving.add(daemon.id);
    await this.#publish();
    const { code } = await daemon.process.stop();
    this.#gone.add(daemon.id);
    await this.#publish();
    return code;
  }

  /** Kills endpoints without warning; the VM list tells after its lag. */
  async killEndpoints(endpoints: readonly SiteEndpoint[]): Promise<void> {
    await Promise.all(endpoints.map((one) => this.runnerTime.read(one)));
    for (const { id } of endpoints) this.#gone.add(id);
    await Promise.all(endpoints.map(({ process }) => process.kill()));
    await this.#publish();
  }

  /** Lists endpoints as leaving; they are told nothing themselves. */
  async listAsLeaving(endpoints: readonly SiteEndpoint[]): Promise<void> {
    for (const { id } of endpoints) this.#leaving.add(id);
    await this.#publish();
  }

  /** Lets endpoints finish what they have and exit. */
  async leave(endpoints: readonly SiteEndpoint[]): Promise<void> {
    for (const { id } of endpoints) this.#leaving.add(id);
    await Promise.all(endpoints.map((one) => this.runnerTime.read(one)));
    await Promise.all(
      endpoints.map((endpoint) =>
        this.#site.controlEndpoint(endpoint, {
          method: "POST",
          path: "/control/leave",
        })
      ),
    );
    await this.#publish();
    void Promise.all(endpoints.map((one) => this.#followLeaving(one)));
  }

  /** Reads the runner time of every endpoint that lives. */
  async readRunnerTime(): Promise<void> {
    await Promise.all(
      this.endpoints.map((endpoint) => this.runnerTime.read(endpoint)),
    );
  }

  /**
   * Stops the daemons, while the platform and the endpoints still work, then
   * all the rest.
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

  /** Reads what a leaving endpoint still does until it has gone. */
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
