import type { ExecutionReport } from "../../endpoint/execution_log.ts";
import type { SiteEndpoint } from "../../site/site_endpoint.ts";

/**
 * The runner time of each endpoint as last read. One that dies between two
 * readings takes what it did since with it.
 */
export class RunnerTimeBook {
  readonly #ask: (endpoint: SiteEndpoint) => Promise<unknown>;
  readonly #milliseconds = new Map<string, number>();
  readonly #services = new Map<string, string>();

  constructor(ask: (endpoint: SiteEndpoint) => Promise<unknown>) {
    this.#ask = ask;
  }

  /** Reads an endpoint; keeps the last reading of one that is gone. */
  async read(endpoint: SiteEndpoint): Promise<void> {
    try {
      const report = await this.#ask(endpoint) as ExecutionReport;
      this.#milliseconds.set(endpoint.id, report.runnerMilliseconds);
      this.#services.set(endpoint.id, endpoint.service);
    } catch {
      // It is gone.
    }
  }

  /** Runner time of a service's endpoints, milliseconds. */
  ofService(service: string): number {
    let sum = 0;
    for (const [id, milliseconds] of this.#milliseconds) {
      if (this.#services.get(id) === service) sum += milliseconds;
    }
    return sum;
  }
}
