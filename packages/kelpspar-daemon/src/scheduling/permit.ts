import type { CallOutcome } from "kelpspar-decisions/routing";
import type { EndpointAddress } from "kelpspar-shared";

/** How a permitted call ended. */
export interface PermitEnd {
  readonly outcome: CallOutcome;
  /**
   * What latencies are compared by, milliseconds: to the first record for
   * streams, the whole time for other calls.
   */
  readonly latencyMilliseconds: number;
  /** What the endpoint states that the call cost; absent without an answer. */
  readonly runnerMilliseconds?: number;
}

/** Leave to make one call at one endpoint; it must be released once. */
export interface Permit {
  readonly endpoint: EndpointAddress;
  /** Told as records come, so that a long call is charged while it runs. */
  progress(): void;
  /** Returns what the call cost its account, runner-milliseconds. */
  release(end: PermitEnd): number;
}
