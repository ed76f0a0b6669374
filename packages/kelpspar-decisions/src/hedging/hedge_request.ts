/** A call that is under way and might be hedged. */
export interface HedgeRequest {
  readonly serviceId: string;
  /** `once` for a stage that acts on the world, which is never hedged. */
  readonly effect: "none" | "once";
  /** True when parts of the result go on before its end. */
  readonly isStreaming: boolean;
  /** Time since the call was sent, milliseconds. */
  readonly elapsedMilliseconds: number;
  readonly remainingMilliseconds: number;
  /** Calls running at the service by its concurrency, 0 to 1. */
  readonly utilization: number;
  /** Calls that wait in front of the service. */
  readonly waiting: number;
  /** Endpoints ready for the call beside the one that runs it. */
  readonly otherEndpoints: number;
}
