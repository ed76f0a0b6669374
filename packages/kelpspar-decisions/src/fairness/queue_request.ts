/** A stage call that requests a slot of a service. */
export interface QueueRequest<Item> {
  readonly accountId: string;
  /** From 0, the most urgent, to 9. */
  readonly priority: number;
  /** Deadline of the caller, monotonic milliseconds. */
  readonly deadlineAt: number;
  /**
   * Minimum time from the start of this call to the end of the request,
   * milliseconds; default 0. Starting later than `deadlineAt` minus this time
   * is useless.
   */
  readonly minimumRemainingMilliseconds?: number;
  /** Estimated cost of the call, runner-milliseconds. */
  readonly estimatedCost: number;
  /** Memory used by the call while it is queued, bytes. */
  readonly bytes: number;
  readonly item: Item;
}
