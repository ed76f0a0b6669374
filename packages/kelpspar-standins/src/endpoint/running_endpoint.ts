import type { LoadReport } from "kelpspar-shared";
import type { EndpointFaults } from "./endpoint_faults.ts";
import type { ExecutionReport } from "./execution_log.ts";

/** One endpoint's stand-in, listening. */
export interface RunningEndpoint {
  readonly address: string;
  readonly port: number;
  readonly incarnation: string;
  setFaults(changes: Partial<EndpointFaults>): void;
  executions(): ExecutionReport;
  load(): LoadReport;
  /** Makes its open connections go silent for good. */
  silence(): void;
  /** Refuses new calls; resolves when those it has are done. */
  leave(): Promise<void>;
  /** Drops every connection and stops, as a process that dies. */
  close(): Promise<void>;
}
