/** A request as a caller of this library makes it. */
export interface ClientRequest {
  /** The pipeline's id in the configuration. */
  readonly pipeline: string;
  /** What the first stage receives. */
  readonly input: string;
  /** The time for the whole answer, retries included, in milliseconds. */
  readonly deadlineMilliseconds: number;
  /**
   * Names the request for look-ups, within the client account. A request that
   * must run at most once gets one of the library's if it has none.
   */
  readonly idempotencyKey?: string;
  /** True when the request must run at most once; default false. */
  readonly nonIdempotent?: boolean;
  /** 0 is the most urgent, 9 the least; default 5. */
  readonly priority?: number;
}
