/** A call of a stage that asks for a slot of a service. */
export interface QueueRequest<Item> {
  readonly accountId: string;
  /** 0 is the most urgent, 9 the least. */
  readonly priority: number;
  /** When the caller's deadline passes, monotonic milliseconds. */
  readonly deadlineAt: number;
  /**
   * The least time from the start of this call to the end of the request,
   * milliseconds; default 0. Past `deadlineAt` less this, starting is no use.
   */
  readonly minimumRemainingMilliseconds?: number;
  /** What the call is expected to cost, runner-milliseconds. */
  readonly estimatedCost: number;
  /** What the call holds in memory while it waits. */
  readonly bytes: number;
  readonly item: Item;
}
