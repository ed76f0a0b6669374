import type { QueueTicket } from "./enqueue_result.ts";

/** A call that was dequeued to run. */
export interface DequeuedItem<Item> {
  readonly ticket: QueueTicket;
  readonly accountId: string;
  readonly item: Item;
  /** Cost charged to the account, runner-milliseconds; see `CallCharge`. */
  readonly chargedCost: number;
  readonly waitedMilliseconds: number;
}

/** A call that was removed because further waiting is useless. */
export interface ExpiredItem<Item> {
  readonly ticket: QueueTicket;
  readonly accountId: string;
  readonly item: Item;
  readonly reason: "cannot_finish_in_time" | "waited_too_long";
}
