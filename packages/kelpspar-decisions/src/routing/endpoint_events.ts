import type { EndpointAddress, LoadReport } from "kelpspar-shared";

/** A row of the VM list that is an endpoint. */
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
   * True when this daemon fetched it itself, over a new connection; that is an
   * answered probe as well. Default false.
   */
  readonly direct?: boolean;
  /** Time it spent at other daemons on its way, milliseconds; default 0. */
  readonly relayedMilliseconds?: number;
}

/** A call that was sent. */
export interface CallStarted {
  readonly endpointId: string;
  /** Monotonic milliseconds. */
  readonly at: number;
}

/** A fetch of the load report, as a probe or a poll, that gave none. */
export interface ProbeFailure {
  readonly endpointId: string;
  /** `refused`: no connection; `failed`: a connection, but no answer. */
  readonly result: "refused" | "failed";
  /** Monotonic milliseconds. */
  readonly at: number;
}
