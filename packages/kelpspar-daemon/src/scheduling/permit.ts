import type { CallOutcome } from "kelpspar-decisions/routing";
import type { EndpointAddress } from "kelpspar-shared";

/** How the call of a permit ended. */
export interface PermitEnd {
  readonly outcome: CallOutcome;
  /**
   * The latency compared between endpoints, milliseconds: time to the first
   * record for streams, total time for other calls.
   */
  readonly latencyMilliseconds: number;
  /** The cost reported by the endpoint; absent without an answer. */
  readonly runnerMilliseconds?: number;
}

/** Permission for one call at one endpoint; must be released once. */
export interface Permit {
  readonly endpoint: EndpointAddress;
  /** Called for each record, so that a long call is charged while it runs. */
  progress(): void;
  /** Returns the call's cost to its account, runner-milliseconds. */
  release(end: PermitEnd): number;
}
