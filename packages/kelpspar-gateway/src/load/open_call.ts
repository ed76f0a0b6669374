/** A call whose answer hasn't arrived. */
export interface OpenCall {
  readonly kind: string;
  /** Monotonic milliseconds. */
  readonly startedAt: number;
  /** Slowdown that the endpoint reported before the call; 1 without reports. */
  readonly reportedSlowdown: number;
  /** Whether a slot was free by the daemon's estimate. */
  readonly isUnqueued: boolean;
}
