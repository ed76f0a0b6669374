import type { QueueTicket } from "./enqueue_result.ts";

/** A call that left the queue because its turn came. */
export interface DequeuedItem<Item> {
  readonly ticket: QueueTicket;
  readonly accountId: string;
  readonly item: Item;
  /** What the account was charged, runner-milliseconds: see `CallCharge`. */
  readonly chargedCost: number;
  readonly waitedMilliseconds: number;
}

/** A call that left the queue because waiting on is no use. */
export interface ExpiredItem<Item> {
  readonly ticket: QueueTicket;
  readonly accountId: string;
  readonly item: Item;
  readonly reason: "cannot_finish_in_time" | "waited_too_long";
}
