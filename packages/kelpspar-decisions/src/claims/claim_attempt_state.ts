import type { ClaimIdentity } from "./claim_identity.ts";
import type { StoredResult } from "./stored_result.ts";

/**
 * Where an attempt stands:
 * - `pending`: its claim was sent, or could not be sent yet;
 * - `unknown`: an answer was lost; the claim may hold, now or later;
 * - `owned`: the claim is confirmed and nothing that it allows has started;
 * - `dispatched`: a call may have reached an endpoint;
 * - `unresolved`: the caller was told `outcome_unknown`;
 * - `completing`: it ran; the result is on its way to the table;
 * - `abandoned`: the caller was told `not_run`; the release is on its way;
 * - `foreign`, `released`, `done`: over.
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

/** What a write to the table says. */
export type ClaimWriteKind = "claim" | "done" | "release";

/** One attempt to claim a key, as an immutable snapshot. */
export interface ClaimAttempt {
  readonly identity: ClaimIdentity;
  readonly phase: ClaimPhase;
  /** The version that a claim expects to replace; 0 for absent. */
  readonly basis: number;
  /** The version of our own row, once it is known. */
  readonly version?: number;
  /** True while a claim whose answer was lost may hold, now or later. */
  readonly mayHaveWritten: boolean;
  /** The write that is on its way; there is never more than one. */
  readonly writing?: ClaimWriteKind;
  /** Calls that may have reached an endpoint. */
  readonly unprovedCalls: number;
  readonly result?: StoredResult;
}
