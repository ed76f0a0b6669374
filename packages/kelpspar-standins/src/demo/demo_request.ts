/** A request that the demonstration sends. */
export interface DemoRequest {
  readonly title: string;
  readonly callerKey: string;
  readonly pipeline: string;
  readonly input: string;
  /** True if the request must run at most once. */
  readonly nonIdempotent: boolean;
  /** If set, the request is sent twice under this key to show that it runs once. */
  readonly idempotencyKey?: string;
}
