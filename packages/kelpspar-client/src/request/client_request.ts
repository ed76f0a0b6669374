/** A request as a caller passes it to this library. */
export interface ClientRequest {
  /** The pipeline's id in the configuration. */
  readonly pipeline: string;
  /** The input of the first stage. */
  readonly input: string;
  /** The time limit for the whole answer with retries, in milliseconds. */
  readonly deadlineMilliseconds: number;
  /**
   * Identifies the request for look-ups within the client account. The library
   * generates a key for a non-idempotent request that has none.
   */
  readonly idempotencyKey?: string;
  /** True if the request must run at most once; default false. */
  readonly nonIdempotent?: boolean;
  /** 0 is the most urgent, 9 the least; default 5. */
  readonly priority?: number;
}
