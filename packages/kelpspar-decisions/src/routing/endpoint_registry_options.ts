import type { RegionOfZone } from "./candidate_pool.ts";
import type { LeavingTrackerOptions } from "./leaving_tracker.ts";
import type { OutlierOptions } from "./outlier_options.ts";
import type { EndpointAddress } from "kelpspar-shared";

/** Environment of an `EndpointRegistry`. */
export interface EndpointRegistryOptions {
  /** Assumed concurrency of an endpoint before its first report; default 8. */
  readonly assumedConcurrency?: (service: string) => number;
  /** This daemon's slice of an endpoint's concurrency; default the whole. */
  readonly sliceOf?: (endpoint: EndpointAddress, concurrency: number) => number;
  /** The region of a zone; default a single region. */
  readonly regionOf?: RegionOfZone;
  /** Age of a report on arrival, milliseconds; default 500. */
  readonly reportLagMilliseconds?: number;
  readonly outliers?: Partial<OutlierOptions>;
  readonly leaving?: LeavingTrackerOptions;
}
