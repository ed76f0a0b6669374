import type { ExecutionReport } from "../../endpoint/execution_log.ts";
import type { SiteEndpoint } from "../../site/site_endpoint.ts";

/**
 * Records the last reported runner time of each endpoint. If an endpoint dies,
 * its runner time since the last report is not counted.
 */
export class RunnerTimeRecorder {
  readonly #readReport: (endpoint: SiteEndpoint) => Promise<unknown>;
  readonly #milliseconds = new Map<string, number>();
  readonly #services = new Map<string, string>();

  constructor(ask: (endpoint: SiteEndpoint) => Promise<unknown>) {
    this.#readReport = ask;
  }

  /** Reads an endpoint's report; keeps the last one if the endpoint is gone. */
  async read(endpoint: SiteEndpoint): Promise<void> {
    try {
      const report = await this.#readReport(endpoint) as ExecutionReport;
      this.#milliseconds.set(endpoint.id, report.runnerMilliseconds);
      this.#services.set(endpoint.id, endpoint.service);
    } catch {
      // The endpoint is gone.
    }
  }

  /** Runner time of a service's endpoints, in milliseconds. */
  ofService(service: string): number {
    let sum = 0;
    for (const [id, milliseconds] of this.#milliseconds) {
      if (this.#services.get(id) === service) sum += milliseconds;
    }
    return sum;
  }
}
