import type { ClaimDecision } from "./claim_decision.ts";
import type { ClaimContent } from "./claim_row.ts";
import type { ClaimAttempt, ClaimWriteKind } from "./claim_attempt_state.ts";

/** Action required after an event. */
export type ClaimAttemptAction =
  | {
    readonly type: "write";
    readonly kind: ClaimWriteKind;
    readonly content: ClaimContent;
    /**
     * Version that the row must have, 0 if it must be absent. Required for
     * every write.
     */
    readonly expectedVersion: number;
  }
  /** Send the event `resend` after a jittered wait. */
  | { readonly type: "resend_later" }
  /** The claim is confirmed: the request may be dispatched. */
  | { readonly type: "run" }
  /** Another operation determines the outcome of the request. */
  | {
    readonly type: "settle";
    readonly decision: Exclude<
      ClaimDecision,
      { readonly type: "claim" | "owned" | "abandoned" }
    >;
  }
  /** Refuse the request with this outcome. */
  | {
    readonly type: "refuse";
    readonly outcome: "not_run" | "outcome_unknown";
  }
  /** No further writes are needed; the attempt may be discarded. */
  | { readonly type: "finish" };

/** New state and the actions to perform. */
export interface ClaimAttemptStep {
  readonly attempt: ClaimAttempt;
  readonly actions: readonly ClaimAttemptAction[];
}
