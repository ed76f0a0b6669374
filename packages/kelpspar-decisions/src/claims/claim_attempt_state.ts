import type { ClaimIdentity } from "./claim_identity.ts";
import type { StoredResult } from "./stored_result.ts";

/**
 * Phase of an attempt:
 * - `pending`: the claim was sent or could not be sent yet.
 * - `unknown`: an answer was lost; the claim may take effect now or later.
 * - `owned`: the claim is confirmed and no call has started.
 * - `dispatched`: a call may have reached an endpoint.
 * - `unresolved`: the caller received `outcome_unknown`.
 * - `completing`: the request ran; the result is being written to the table.
 * - `abandoned`: the caller received `not_run`; the release is being written.
 * - `foreign`, `released`, `done`: final phases.
 */
export type ClaimPhase =
  | "pending"
  | "unknown"
  | "owned"
  | "dispatched"
  | "unresolved"
  | "completing"
  | "abandoned"
  | "foreign"
  | "released"
  | "done";

/** Kind of a write to the table. */
export type ClaimWriteKind = "claim" | "done" | "release";

/** Immutable state of one attempt to claim a key. */
export interface ClaimAttempt {
  readonly identity: ClaimIdentity;
  readonly phase: ClaimPhase;
  /** Version that the claim expects to replace; 0 if the row must be absent. */
  readonly baseVersion: number;
  /** Version of the attempt's own row, once known. */
  readonly version?: number;
  /** True while a claim whose answer was lost may take effect, now or later. */
  readonly mayHaveWritten: boolean;
  /** Write without an answer yet; at most one at a time. */
  readonly writing?: ClaimWriteKind;
  /** Calls that may have reached an endpoint. */
  readonly unprovedCalls: number;
  readonly result?: StoredResult;
}
