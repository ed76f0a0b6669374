import type { EndpointEntry } from "./endpoint_entry.ts";
import type { HealthState } from "./endpoint_health.ts";
import type { LeavingSource } from "./leaving_source.ts";
import type { EndpointAddress, LoadReport } from "kelpspar-shared";

/** One endpoint as this daemon sees it, for operators' listings. */
export interface EndpointStatus {
  readonly address: EndpointAddress;
  readonly health: HealthState;
  /** Why it was ejected; absent when it is not. */
  readonly ejectedFor?: string;
  /** Who marked it as leaving; empty when nobody did. */
  readonly leavingBy: readonly LeavingSource[];
  /** The last report; absent before the first. */
  readonly report?: LoadReport;
  /** Age of the last report, milliseconds; absent before the first. */
  readonly reportAgeMilliseconds?: number;
  /** This daemon's own calls in flight. */
  readonly inFlight: number;
  /** Own calls allowed in flight. */
  readonly limit: number;
  /** Calls running and waiting there, as far as is known. */
  readonly estimatedLoad: number;
}

/** Writes an entry down for readers. */
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
