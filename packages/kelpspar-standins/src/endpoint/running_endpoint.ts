import type { LoadReport } from "kelpspar-shared";
import type { EndpointFaults } from "./endpoint_faults.ts";
import type { ExecutionReport } from "./execution_log.ts";

/** A running endpoint stand-in. */
export interface RunningEndpoint {
  readonly address: string;
  readonly port: number;
  readonly incarnation: string;
  setFaults(changes: Partial<EndpointFaults>): void;
  executions(): ExecutionReport;
  load(): LoadReport;
  /** Silences all open connections permanently. */
  silence(): void;
  /** Refuses new calls; resolves when all accepted calls are done. */
  leave(): Promise<void>;
  /** Drops all connections and stops, as a crashed process does. */
  close(): Promise<void>;
}
