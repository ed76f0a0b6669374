import type { FoundClaim } from "./claim_row.ts";
import type { StoredResult } from "./stored_result.ts";

/** Answer of the table service to an attempt's write. */
export type ClaimWriteAnswer =
  | { readonly type: "committed"; readonly version: number }
  | { readonly type: "conflict"; readonly found: FoundClaim | null }
  /**
   * The answer was lost; the write may have taken effect or may do so later.
   */
  | { readonly type: "unknown" }
  /** Proof that this write was not received or was refused. */
  | { readonly type: "unavailable" };

/** Events of an attempt. */
export type ClaimAttemptEvent =
  | ClaimWriteAnswer
  /** The wait requested by `resend_later` has elapsed. */
  | { readonly type: "resend" }
  /** A call permitted by the claim is about to be sent to an endpoint. */
  | { readonly type: "dispatch" }
  /** A dispatched call provably did not start. */
  | { readonly type: "not_started" }
  | { readonly type: "complete"; readonly result: StoredResult }
  /** The request ends without a result: deadline, no endpoint, failure. */
  | { readonly type: "give_up" };

/** Type of an event. */
export type ClaimAttemptEventType = ClaimAttemptEvent["type"];
