import type { EndpointAddress, LoadReport } from "kelpspar-shared";

/** A row of the VM list for an endpoint. */
export interface ListedEndpoint {
  readonly address: EndpointAddress;
  readonly state: "live" | "leaving";
}

/** A load report that arrived. */
export interface ReportArrival {
  readonly endpointId: string;
  readonly report: LoadReport;
  /** When it arrived, monotonic milliseconds. */
  readonly now: number;
  /**
   * True when this daemon fetched it over a new connection, which also counts
   * as an answered probe. Default false.
   */
  readonly direct?: boolean;
  /** Time for which other daemons held it, milliseconds; default 0. */
  readonly relayedMilliseconds?: number;
}

/** A call that was sent. */
export interface CallStarted {
  readonly endpointId: string;
  /** Monotonic milliseconds. */
  readonly at: number;
}

/** A failed fetch of the load report, by a probe or a poll. */
export interface ProbeFailure {
  readonly endpointId: string;
  /** `refused`: no connection; `failed`: a connection without an answer. */
  readonly result: "refused" | "failed";
  /** Monotonic milliseconds. */
  readonly at: number;
}
