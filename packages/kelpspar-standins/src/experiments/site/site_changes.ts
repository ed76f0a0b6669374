import type { TableFaults } from "../../table/table_faults.ts";
import type { ConfigurationChanges } from "./experiment_configuration.ts";
import type { EngineSettings } from "../../endpoint/endpoint_settings.ts";

/** What an experiment changes at the site that all of them share. */
export interface SiteChanges {
  readonly daemons?: number;
  readonly engines?: number;
  /** Endpoints of each plain service. */
  readonly plainEndpoints?: number;
  /** Mean time of a call that may not be repeated, milliseconds. */
  readonly onceMilliseconds?: number;
  readonly engine?: Partial<EngineSettings>;
  readonly table?: Partial<TableFaults>;
  readonly vmListLagMilliseconds?: number;
  readonly configuration?: ConfigurationChanges;
  /** Laid over each daemon's settings. */
  readonly daemonSettings?: Readonly<Record<string, unknown>>;
}
