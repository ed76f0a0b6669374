import type { TableFaults } from "../../table/table_faults.ts";
import type { ConfigurationChanges } from "./experiment_configuration.ts";
import type { EngineSettings } from "../../endpoint/endpoint_settings.ts";

/** Overrides of the common site plan by an experiment. */
export interface SiteChanges {
  readonly daemons?: number;
  readonly engines?: number;
  /** Number of endpoints of each plain service. */
  readonly plainEndpoints?: number;
  /** Mean service time of once-stages, in milliseconds. */
  readonly onceMilliseconds?: number;
  readonly engine?: Partial<EngineSettings>;
  readonly table?: Partial<TableFaults>;
  readonly vmListLagMilliseconds?: number;
  readonly configuration?: ConfigurationChanges;
  /** Merged into each daemon's settings. */
  readonly daemonSettings?: Readonly<Record<string, unknown>>;
}
