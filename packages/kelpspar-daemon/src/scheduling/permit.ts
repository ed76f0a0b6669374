import type { EndpointAddress } from "kelpspar-shared";

/** How a call ended, as the routing decisions see it. */
export type CallOutcome =
  | "success"
  | "failed"
  | "silent"
  | "refused"
  | "overloaded"
  | "leaving"
  | "cancelled";

/** Leave to make one call at one endpoint; it must be released once. */
export interface Permit {
  readonly endpoint: EndpointAddress;
  release(end: {
    readonly outcome: CallOutcome;
    /** What the call cost, runner-milliseconds. */
    readonly cost: number;
  }): void;
}
