import type { EndpointEntry } from "./endpoint_entry.ts";
import type { HealthState } from "./endpoint_health.ts";
import type { LeavingSource } from "./leaving_source.ts";
import type { EndpointAddress, LoadReport } from "kelpspar-shared";

/** One endpoint's status at this daemon, for operators' listings. */
export interface EndpointStatus {
  readonly address: EndpointAddress;
  readonly health: HealthState;
  /** The reason for its ejection; absent when it isn't ejected. */
  readonly ejectedFor?: string;
  /** The sources that marked it as leaving; empty when there are none. */
  readonly leavingBy: readonly LeavingSource[];
  /** The last report; absent before the first. */
  readonly report?: LoadReport;
  /** Age of the last report, milliseconds; absent before the first. */
  readonly reportAgeMilliseconds?: number;
  /** This daemon's calls in flight. */
  readonly inFlight: number;
  /** This daemon's calls allowed in flight. */
  readonly limit: number;
  /** Estimate of the calls running and queued at the endpoint. */
  readonly estimatedLoad: number;
}

/** Creates the status of an entry. */
export function statusOf(
  entry: EndpointEntry,
  options: {
    readonly now: number;
    readonly leavingBy: readonly LeavingSource[];
  },
): EndpointStatus {
  const { now, leavingBy } = options;
  const { address, health, load, report } = entry;
  return {
    address,
    health: health.stateAt(now),
    ...(health.reason === undefined ? {} : { ejectedFor: health.reason }),
    leavingBy,
    ...(report === undefined
      ? {}
      : { report, reportAgeMilliseconds: load.reportAgeAt(now) }),
    inFlight: load.inFlight,
    limit: entry.limitAt(now),
    estimatedLoad: load.level,
  };
}
