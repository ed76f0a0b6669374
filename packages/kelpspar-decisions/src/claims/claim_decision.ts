import type { StoredResult } from "./stored_result.ts";

/** What a row of the table `claims` means for a daemon's own claim. */
export type ClaimDecision =
  /** Nobody can run it: write the claim under this version, 0 for absent. */
  | { readonly type: "claim"; readonly expectedVersion: number }
  /** The row is our own claim; only now may the request be dispatched. */
  | { readonly type: "owned"; readonly version: number }
  /** The row says that this very operation was given up. */
  | { readonly type: "abandoned" }
  | { readonly type: "completed"; readonly result: StoredResult }
  /** It completed, but no result is kept. */
  | { readonly type: "expired" }
  /** The key was used with another body. */
  | { readonly type: "reused" }
  | HeldElsewhere;

/**
 * Another operation holds the claim and may have run the request, so that
 * this one never will. Ask the holder when it lives.
 */
export interface HeldElsewhere {
  readonly type: "held_elsewhere";
  /** The holder's incarnation; empty when the row cannot be read. */
  readonly daemon: string;
  readonly requestId: string;
  readonly operationId: string;
}
