import type { RunningProcess } from "../process/running_process.ts";

/** An endpoint process of a site. */
export interface SiteEndpoint {
  readonly id: string;
  readonly service: string;
  readonly availabilityZone: string;
  readonly port: number;
  readonly incarnation: string;
  readonly checksFencing: boolean;
  readonly process: RunningProcess;
}
