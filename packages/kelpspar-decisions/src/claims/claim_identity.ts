/** Who claims a key, and for which request. */
export interface ClaimIdentity {
  /**
   * Differs for every attempt to claim. A writer whose answer was lost knows
   * its own row by it.
   */
  readonly operationId: string;
  /** The daemon's incarnation. */
  readonly daemon: string;
  readonly requestId: string;
  /** A hash of the request's body; tells a retry from a reused key. */
  readonly bodyHash: string;
  /**
   * Earlier operations of this same daemon on this key that it gave up and
   * can therefore never dispatch. Default: none.
   */
  readonly abandonedOperations?: readonly string[];
}
