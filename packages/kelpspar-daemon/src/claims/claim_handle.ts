import type { StoredResult } from "kelpspar-decisions/claims";

/** What a running request does with its claim. */
export interface ClaimHandle {
  /**
   * Says that a call is about to be handed to an endpoint. False when the
   * claim is not confirmed or was given up; then the call must not be made.
   */
  dispatch(): boolean;
  /** Says that a dispatched call is proved not to have started. */
  notStarted(): void;
  complete(result: StoredResult): void;
  /** Ends the request without a result. */
  giveUp(): void;
  /**
   * Says that no result will come any more. Without it every request whose
   * outcome stays unknown is remembered for the life of the daemon.
   */
  forget(): void;
}
