import type { RunningProcess } from "../process/running_process.ts";

/** A daemon process of a site. */
export interface SiteDaemon {
  readonly id: string;
  readonly availabilityZone: string;
  readonly port: number;
  readonly incarnation: string;
  readonly process: RunningProcess;
}
