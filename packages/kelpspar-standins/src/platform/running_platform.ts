import type { InMemoryTable } from "../table/in_memory_table.ts";
import type { LaggingVmList } from "../vm/lagging_vm_list.ts";

/** The four services of the platform. */
export type PlatformService = "table" | "objects" | "weights" | "vms";

/** The running stand-ins of the platform's services. */
export interface RunningPlatform {
  readonly ports: Readonly<Record<PlatformService, number>>;
  /** `http://address:port` of each service. */
  readonly origins: Readonly<Record<PlatformService, string>>;
  readonly table: InMemoryTable;
  readonly objects: Map<string, string>;
  readonly vms: LaggingVmList;
  /** Silences all open connections of a service permanently. */
  silence(service: PlatformService): void;
  /** Stops listening and drops all connections. */
  close(): Promise<void>;
}
