import type { HeldElsewhere } from "./claim_decision.ts";
import type { StoredResult } from "./stored_result.ts";

/** What a claim's holder says when it is asked through the peer port. */
export type OwnerAnswer =
  | { readonly type: "running"; readonly operationId: string }
  | {
    readonly type: "completed";
    readonly operationId: string;
    readonly result: StoredResult;
  }
  /** It does not know the operation, or gave no answer, or is gone. */
  | { readonly type: "silent" };

/** What to tell a caller whose request another daemon holds. */
export type HeldDecision =
  | { readonly type: "in_progress" }
  | { readonly type: "completed"; readonly result: StoredResult }
  | { readonly type: "outcome_unknown" };

/**
 * Turns the holder's answer into the caller's. An answer about any other
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
