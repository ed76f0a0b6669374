import type { FoundClaim } from "./claim_row.ts";
import type { StoredResult } from "./stored_result.ts";

/** What the table service answered to an attempt's write. */
export type ClaimWriteAnswer =
  | { readonly type: "committed"; readonly version: number }
  | { readonly type: "conflict"; readonly found: FoundClaim | null }
  /** The answer was lost; the write may have taken effect, or may later. */
  | { readonly type: "unknown" }
  /** Proved: this write was not received, or was refused. */
  | { readonly type: "unavailable" };

/** What happens to an attempt. */
export type ClaimAttemptEvent =
  | ClaimWriteAnswer
  /** The wait that `resend_later` asked for is over. */
  | { readonly type: "resend" }
  /** A call that the claim allows is about to be handed to an endpoint. */
  | { readonly type: "dispatch" }
  /** A dispatched call is proved not to have started. */
  | { readonly type: "not_started" }
  | { readonly type: "complete"; readonly result: StoredResult }
  /** The request ends without a result: deadline, no endpoint, failure. */
  | { readonly type: "give_up" };

/** The name of an event. */
export type ClaimAttemptEventType = ClaimAttemptEvent["type"];
