import type { EndpointFaults } from "../../endpoint/endpoint_faults.ts";
import type { Site } from "../../site/site.ts";
import type { SiteEndpoint } from "../../site/site_endpoint.ts";
import type { TableCounters } from "../../table/table_counters.ts";
import type { TableFaults } from "../../table/table_faults.ts";

/** Fault injection for an experiment's site. */
export class SiteFaults {
  readonly #site: Site;

  constructor(site: Site) {
    this.#site = site;
  }

  /** Changes the faults of an endpoint. */
  async setEndpoint(
    endpoint: SiteEndpoint,
    faults: Partial<EndpointFaults>,
  ): Promise<void> {
    await this.#site.controlEndpoint(endpoint, {
      method: "POST",
      path: "/control/faults",
      body: faults,
    });
  }

  /** Makes the open connections of endpoints permanently silent. */
  async silence(endpoints: readonly SiteEndpoint[]): Promise<void> {
    await Promise.all(
      endpoints.map((endpoint) =>
        this.#site.controlEndpoint(endpoint, {
          method: "POST",
          path: "/control/silence",
        })
      ),
    );
  }

  /** Makes the open connections of the table and the VM list silent. */
  async silencePlatform(): Promise<void> {
    const exchange = { method: "POST", path: "/control/silence" } as const;
    await this.#site.control("table", exchange);
    await this.#site.control("vms", exchange);
  }

  /** Changes the faults of the table. */
  async setTable(faults: Partial<TableFaults>): Promise<void> {
    await this.#site.control("table", {
      method: "POST",
      path: "/control/faults",
      body: faults,
    });
  }

  /** Reads the table's request counters. */
  async tableCounters(): Promise<TableCounters> {
    const exchange = { method: "GET", path: "/control/counters" } as const;
    return await this.#site.control("table", exchange) as TableCounters;
  }
}
