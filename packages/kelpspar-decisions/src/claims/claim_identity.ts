/** Identifies the claimant of a key and its request. */
export interface ClaimIdentity {
  /**
   * Unique per claim attempt. A writer whose answer was lost recognizes its own
   * row by it.
   */
  readonly operationId: string;
  /** Incarnation of the daemon. */
  readonly daemon: string;
  readonly requestId: string;
  /** Hash of the request's body; distinguishes a retry from a reused key. */
  readonly bodyHash: string;
  /**
   * Earlier operations of the same daemon on this key that it abandoned and can
   * therefore never dispatch. Default: none.
   */
  readonly abandonedOperations?: readonly string[];
}
