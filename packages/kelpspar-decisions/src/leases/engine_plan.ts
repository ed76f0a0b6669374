import type { DesiredEngineState, LoadReport } from "kelpspar-shared";

/** One engine of a group, as its lease holder sees it. */
export interface PlannedEngine {
  readonly endpointId: string;
  readonly availabilityZone: string;
  readonly desired: DesiredEngineState;
  /** The newest report; undefined before the first. */
  readonly report?: LoadReport;
  /** When that report arrived, monotonic milliseconds. */
  readonly reportAt?: number;
  /** Calls to it that this daemon has in flight. */
  readonly inFlight: number;
  /** Since when routing is told to leave it out, monotonic milliseconds. */
  readonly takenOutAt?: number;
  /** This holder's last order. A new holder has none. */
  readonly ordered?: {
    readonly desired: DesiredEngineState;
    /** Monotonic milliseconds. */
    readonly at: number;
  };
}

/** What the planner goes by. */
export interface PlannerInput {
  /** Monotonic milliseconds. */
  readonly now: number;
  readonly engines: readonly PlannedEngine[];
  /** Engines that must stay ready for each model, in any version. */
  readonly minimumReady: ReadonlyMap<string, number>;
  /** Grants of the weight store that are not used yet, by `grantKey`. */
  readonly grants: ReadonlyMap<string, number>;
}

/** The times the planner goes by, all in milliseconds. */
export interface PlannerTimes {
  /** Until every daemon has stopped using what was taken out; 3,000. */
  readonly routingMilliseconds: number;
  /** Until a report must show an order; default 5,000. */
  readonly reportMilliseconds: number;
  /** After this an engine that still loads is ordered again; 600,000. */
  readonly loadMilliseconds: number;
}

/** Why an engine that is not as desired is left alone for now. */
export type WaitReason =
  | "no_report"
  | "loading"
  | "draining"
  | "zone"
  | "floor"
  | "grant";

/** What the holder does next. */
export type PlannerStep =
  /** Ask the weight store; pass what it grants in `grants`. */
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
    /** The grants that this order uses up. */
    readonly grants: readonly string[];
  }
  /** Routing may use it again. */
  | { readonly type: "put_back"; readonly endpointId: string }
  | {
    readonly type: "wait";
    readonly endpointId: string;
    readonly reason: WaitReason;
  };
