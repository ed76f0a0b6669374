import type { DesiredEngineState, LoadReport } from "kelpspar-shared";

/** One engine of a group from the lease holder's point of view. */
export interface PlannedEngine {
  readonly endpointId: string;
  readonly availabilityZone: string;
  readonly desired: DesiredEngineState;
  /** Latest report; undefined before the first. */
  readonly report?: LoadReport;
  /** When that report arrived, monotonic milliseconds. */
  readonly reportAt?: number;
  /** In-flight calls from this daemon to the engine. */
  readonly inFlight: number;
  /** When the engine was removed from routing, monotonic milliseconds. */
  readonly removedFromRoutingAt?: number;
  /** Last order sent by this holder; a new holder has none. */
  readonly lastOrder?: {
    readonly desired: DesiredEngineState;
    /** Monotonic milliseconds. */
    readonly at: number;
  };
}

/** Inputs of `planOrders`. */
export interface PlannerInput {
  /** Monotonic milliseconds. */
  readonly now: number;
  readonly engines: readonly PlannedEngine[];
  /** Minimum number of ready engines per model, in any version. */
  readonly minimumReady: ReadonlyMap<string, number>;
  /** Unused grants of the weight store, by `grantKey`. */
  readonly grants: ReadonlyMap<string, number>;
}

/** Timing parameters of the planner, in milliseconds. */
export interface PlannerTimes {
  /**
   * Time until every daemon has stopped routing to a removed engine; default
   * 3,000.
   */
  readonly routingSettleMilliseconds: number;
  /** Time within which a report must reflect an order; default 5,000. */
  readonly reportTimeoutMilliseconds: number;
  /**
   * Time after which an engine that is still loading is ordered again; default
   * 600,000.
   */
  readonly loadTimeoutMilliseconds: number;
}

/** Why an engine that is not in the desired state is not changed yet. */
export type WaitReason =
  | "no_report"
  | "loading"
  | "draining"
  | "zone"
  | "floor"
  | "grant";

/** Next step of the lease holder. */
export type PlannerStep =
  /** Request a grant from the weight store; pass granted loads in `grants`. */
  | {
    readonly type: "request_grant";
    readonly model: string;
    readonly version: string;
  }
  | { readonly type: "take_out"; readonly endpointId: string }
  | {
    readonly type: "order";
    readonly endpointId: string;
    readonly desired: DesiredEngineState;
    /** Grants consumed by this order. */
    readonly grants: readonly string[];
  }
  /** Return the engine to routing. */
  | { readonly type: "put_back"; readonly endpointId: string }
  | {
    readonly type: "wait";
    readonly endpointId: string;
    readonly reason: WaitReason;
  };
