import type { QueueTicket } from "./enqueue_result.ts";
import { IndexedHeap } from "./indexed_heap.ts";

const NOT_IN_HEAP = -1;
const PRIORITY_COUNT = 10;

/** A queued call with its places in the heaps that contain it. */
export interface QueueEntry<Item> {
  readonly ticket: QueueTicket;
  readonly account: AccountQueue<Item>;
  readonly item: Item;
  readonly priority: number;
  readonly deadlineAt: number;
  /** Latest useful start time, monotonic milliseconds. */
  readonly latestStartAt: number;
  readonly isLimitedByMaximumWait: boolean;
  readonly enqueuedAt: number;
  readonly cost: number;
  readonly bytes: number;
  accountPlace: number;
  expiryPlace: number;
}

/**
 * Queued calls of one client account and its virtual time: the service it
 * received, divided by its weight.
 */
export class AccountQueue<Item> {
  readonly accountId: string;
  /** Breaks ties between accounts with equal virtual time. */
  readonly order: number;
  weight: number;
  virtualTime: number;
  /** Place of the account in the heap of waiting accounts. */
  place = NOT_IN_HEAP;
  #bytes = 0;
  readonly #costByPriority = new Float64Array(PRIORITY_COUNT);
  readonly #entries = new IndexedHeap<QueueEntry<Item>>({
    before: (first, second) => comesBefore(first, second),
    placeOf: (entry) => entry.accountPlace,
    setPlace: (entry, place) => {
      entry.accountPlace = place;
    },
  });

  constructor(
    accountId: string,
    options: {
      readonly order: number;
      readonly weight: number;
      readonly virtualTime: number;
    },
  ) {
    this.accountId = accountId;
    this.order = options.order;
    this.weight = options.weight;
    this.virtualTime = options.virtualTime;
  }

  get requests(): number {
    return this.#entries.size;
  }

  get bytes(): number {
    return this.#bytes;
  }

  /** Next call of the account. */
  first(): QueueEntry<Item> | undefined {
    return this.#entries.peek();
  }

  /** Queued runner-milliseconds at this priority or a more urgent one. */
  costAhead(priority: number): number {
    let cost = 0;
    for (let level = 0; level <= priority; level++) {
      cost += this.#costByPriority[level] ?? 0;
    }
    return cost;
  }

  add(entry: QueueEntry<Item>): void {
    this.#entries.push(entry);
    this.#bytes += entry.bytes;
    this.#addCost(entry.priority, entry.cost);
  }

  remove(entry: QueueEntry<Item>): void {
    this.#entries.remove(entry);
    this.#bytes -= entry.bytes;
    this.#addCost(entry.priority, -entry.cost);
    if (this.#entries.size === 0) this.#costByPriority.fill(0);
  }

  #addCost(priority: number, cost: number): void {
    const before = this.#costByPriority[priority] ?? 0;
    this.#costByPriority[priority] = Math.max(0, before + cost);
  }
}

/** Clamps the priority of a request to the integers supported by the queue. */
export function clampPriority(priority: number): number {
  return Math.min(PRIORITY_COUNT - 1, Math.max(0, Math.trunc(priority)));
}

function comesBefore<Item>(
  first: QueueEntry<Item>,
  second: QueueEntry<Item>,
): boolean {
  if (first.priority !== second.priority) {
    return first.priority < second.priority;
  }
  if (first.deadlineAt !== second.deadlineAt) {
    return first.deadlineAt < second.deadlineAt;
  }
  return first.ticket < second.ticket;
}
