import type { ClaimDecision } from "./claim_decision.ts";
import type { ClaimContent } from "./claim_row.ts";
import type { ClaimAttempt, ClaimWriteKind } from "./claim_attempt_state.ts";

/** What the daemon has to do after an event. */
export type ClaimAttemptAction =
  | {
    readonly type: "write";
    readonly kind: ClaimWriteKind;
    readonly content: ClaimContent;
    /** The version the row must have, 0 for absent. Never left out. */
    readonly expectedVersion: number;
  }
  /** Send the event `resend` after a jittered wait. */
  | { readonly type: "resend_later" }
  /** The claim is confirmed: the request may be dispatched. */
  | { readonly type: "run" }
  /** Another operation settles the request. */
  | {
    readonly type: "settle";
    readonly decision: Exclude<
      ClaimDecision,
      { readonly type: "claim" | "owned" | "abandoned" }
    >;
  }
  /** Refuse the caller with this outcome. */
  | {
    readonly type: "refuse";
    readonly outcome: "not_run" | "outcome_unknown";
  }
  /** Nothing more is to be written: the attempt may be dropped. */
  | { readonly type: "finish" };

/** A new snapshot and what to do. */
export interface ClaimAttemptStep {
  readonly attempt: ClaimAttempt;
  readonly actions: readonly ClaimAttemptAction[];
}
