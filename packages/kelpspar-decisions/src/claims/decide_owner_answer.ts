import type { HeldElsewhere } from "./claim_decision.ts";
import type { StoredResult } from "./stored_result.ts";

/** Answer of a claim's holder to a query through the peer port. */
export type OwnerAnswer =
  | { readonly type: "running"; readonly operationId: string }
  | {
    readonly type: "completed";
    readonly operationId: string;
    readonly result: StoredResult;
  }
  /** The holder does not know the operation, gave no answer, or is gone. */
  | { readonly type: "silent" };

/** Answer to a caller whose request is held by another daemon. */
export type HeldDecision =
  | { readonly type: "in_progress" }
  | { readonly type: "completed"; readonly result: StoredResult }
  | { readonly type: "outcome_unknown" };

/**
 * Converts the holder's answer into the caller's. An answer about any other
 * operation counts as silence: a late or foreign result is never used.
 */
export function decideOwnerAnswer(
  held: HeldElsewhere,
  answer: OwnerAnswer,
): HeldDecision {
  if (answer.type === "silent" || answer.operationId !== held.operationId) {
    return { type: "outcome_unknown" };
  }
  if (answer.type === "running") return { type: "in_progress" };
  return { type: "completed", result: answer.result };
}
