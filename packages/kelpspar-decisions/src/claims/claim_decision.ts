import type { StoredResult } from "./stored_result.ts";

/** Meaning of a row of the table `claims` for a daemon's own claim. */
export type ClaimDecision =
  /**
   * No operation can run the request: write the claim under this version, 0 if
   * the row must be absent.
   */
  | { readonly type: "claim"; readonly expectedVersion: number }
  /** The row is our own claim; the request may now be dispatched. */
  | { readonly type: "owned"; readonly version: number }
  /** The row shows that this operation was abandoned. */
  | { readonly type: "abandoned" }
  | { readonly type: "completed"; readonly result: StoredResult }
  /** The request completed, but its result is no longer stored. */
  | { readonly type: "expired" }
  /** The key was used with a different body. */
  | { readonly type: "reused" }
  | HeldElsewhere;

/**
 * Another operation holds the claim and may have run the request, so this
 * operation never will. Query the holder if it is alive.
 */
export interface HeldElsewhere {
  readonly type: "held_elsewhere";
  /** Incarnation of the holder; empty if the row is unreadable. */
  readonly daemon: string;
  readonly requestId: string;
  readonly operationId: string;
}
