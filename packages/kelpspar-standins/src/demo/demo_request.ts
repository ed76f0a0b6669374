/** A request that the demonstration sends. */
export interface DemoRequest {
  readonly title: string;
  readonly callerKey: string;
  readonly pipeline: string;
  readonly input: string;
  /** True when it must run at most once. */
  readonly nonIdempotent: boolean;
  /** The caller's own name for it; sent twice to show that it runs once. */
  readonly idempotencyKey?: string;
}
