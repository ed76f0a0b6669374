/** A call in flight that may be hedged. */
export interface HedgeRequest {
  readonly serviceId: string;
  /** `once` for a stage with external side effects, which is never hedged. */
  readonly effect: "none" | "once";
  /** True when partial results are forwarded before the call ends. */
  readonly isStreaming: boolean;
  /** Time since the call was sent, milliseconds. */
  readonly elapsedMilliseconds: number;
  readonly remainingMilliseconds: number;
  /** Running calls of the service divided by its concurrency, 0 to 1. */
  readonly utilization: number;
  /** Calls queued for the service. */
  readonly waiting: number;
  /** Ready endpoints other than the one that runs the call. */
  readonly otherEndpoints: number;
}
