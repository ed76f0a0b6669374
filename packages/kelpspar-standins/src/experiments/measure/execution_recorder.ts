import type { TimerService } from "kelpspar-shared";
import type { Execution } from "../../endpoint/execution_log.ts";
import type { SiteEndpoint } from "../../site/site_endpoint.ts";
import { ONCE_SERVICE } from "../site/experiment_services.ts";

const LINE_START = '{"execution":';

/**
 * Records every call execution from the lines that endpoints print. Printed
 * lines survive the death of an endpoint, so that no execution is missed.
 */
export class ExecutionRecorder {
  readonly #timer: TimerService;
  /** Execution counts by token, then by service. */
  readonly #byToken = new Map<string, Map<string, number>>();
  readonly #byService = new Map<string, number>();
  readonly #lastAt = new Map<string, number>();

  constructor(timer: TimerService) {
    this.#timer = timer;
  }

  /** Records the executions that an endpoint prints from now on. */
  follow(endpoint: SiteEndpoint): void {
    endpoint.process.registerLine((line) => {
      if (!line.startsWith(LINE_START)) return;
      const { execution } = JSON.parse(line) as {
        readonly execution: Execution;
      };
      this.#add(endpoint, execution);
    });
  }

  /** Number of executions of a request's once-stage. */
  onceRuns(token: string): number {
    return this.#byToken.get(token)?.get(ONCE_SERVICE) ?? 0;
  }

  /** Number of executions of all stages of a request. */
  runs(token: string): number {
    const services = this.#byToken.get(token);
    if (services === undefined) return 0;
    return [...services.values()].reduce((sum, count) => sum + count, 0);
  }

  /** Number of executions at a service. */
  runsOf(service: string): number {
    return this.#byService.get(service) ?? 0;
  }

  /** Last execution of an endpoint, by the timer; undefined if none. */
  lastRunAt(endpointId: string): number | undefined {
    return this.#lastAt.get(endpointId);
  }

  #add(endpoint: SiteEndpoint, execution: Execution): void {
    const { id, service } = endpoint;
    this.#lastAt.set(id, this.#timer.now());
    this.#byService.set(service, this.runsOf(service) + 1);
    const { token } = execution;
    if (token === undefined) return;
    const services = this.#byToken.get(token) ?? new Map<string, number>();
    services.set(service, (services.get(service) ?? 0) + 1);
    this.#byToken.set(token, services);
  }
}
