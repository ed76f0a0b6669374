import type { RegionOfZone } from "./candidate_pool.ts";
import type { LeavingTrackerOptions } from "./leaving_tracker.ts";
import type { OutlierOptions } from "./outlier_options.ts";
import type { EndpointAddress } from "kelpspar-shared";

/** What the registry is told about its surroundings. */
export interface EndpointRegistryOptions {
  /** Calls an endpoint of a service runs at a time before it reports; 8. */
  readonly assumedConcurrency?: (service: string) => number;
  /** This daemon's slice of an endpoint's concurrency; default all of it. */
  readonly sliceOf?: (endpoint: EndpointAddress, concurrency: number) => number;
  /** The region of a zone; default one region for all. */
  readonly regionOf?: RegionOfZone;
  /** How old a report is when it arrives, milliseconds; default 500. */
  readonly reportLagMilliseconds?: number;
  readonly outliers?: Partial<OutlierOptions>;
  readonly leaving?: LeavingTrackerOptions;
}
