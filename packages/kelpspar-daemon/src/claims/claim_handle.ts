import type { StoredResult } from "kelpspar-decisions/claims";

/** Operations of a running request on its claim. */
export interface ClaimHandle {
  /**
   * Records that a call is about to be sent to an endpoint. Returns false when
   * the claim is not confirmed or was given up; the call must not be made then.
   */
  tryDispatch(): boolean;
  /** Records that a dispatched call is proven not to have started. */
  recordNotStarted(): void;
  complete(result: StoredResult): void;
  /** Ends the request without a result. */
  giveUp(): void;
  /**
   * Discards the claim's state when no result will follow. Otherwise each
   * request with an unknown outcome would occupy memory until the daemon exits.
   */
  discard(): void;
}
