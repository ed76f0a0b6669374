import type { RandomSource } from "kelpspar-shared";
import type { QueueEntry } from "./account_queue.ts";
import type { EnqueueResult, QueueTicket } from "./enqueue_result.ts";
import type { QueueBounds } from "./queue_bounds.ts";
import type { QueueRequest } from "./queue_request.ts";
import type { DequeuedItem, ExpiredItem } from "./queued_item.ts";
import { retryDelayMilliseconds } from "../retries/retry_delay.ts";
import { clampPriority } from "./account_queue.ts";
import { AccountSchedule } from "./account_schedule.ts";
import { IndexedHeap } from "./indexed_heap.ts";
import { DEFAULT_QUEUE_BOUNDS } from "./queue_bounds.ts";

/**
 * Minimum cost of a call, runner-milliseconds. Calls without cost would never
 * advance their account's virtual time and would block the other accounts.
 */
const SMALLEST_COST = 1;
const DEFAULT_TOTAL_BYTES = 32 * 1024 * 1024;
/** Memory that a queued call uses in addition to its input, bytes. */
const BYTES_PER_ENTRY = 1_024;

/** Options and limits of a queue. */
export interface FairQueueOptions {
  /** Jitters the retry delay returned to refused callers. */
  readonly random: RandomSource;
  /** Limits of an account; default `DEFAULT_QUEUE_BOUNDS`. */
  readonly boundsOf?: (accountId: string) => QueueBounds;
  /** Maximum queued bytes of all accounts together; default 32 MiB. */
  readonly maximumTotalBytes?: number;
}

/** Queued calls of one client account. */
export interface AccountBacklog {
  readonly accountId: string;
  readonly requests: number;
  readonly bytes: number;
}

/**
 * Queue in front of one service's slots. It shares the service among client
 * accounts by weight; within an account, the most urgent priority goes first,
 * then the earliest deadline. Over any period in which two accounts wait
 * throughout, the difference of their charged costs, each divided by its
 * weight, is at most the sum, over the two, of (largest estimate + 2 x calls
 * running x largest correction) / weight.
 *
 * Source: the brief, "The product": the largest customer's traffic must never
 * starve the rest or be starved by them.
 */
export class FairQueue<Item> {
  readonly #random: RandomSource;
  readonly #boundsOf: (accountId: string) => QueueBounds;
  readonly #maximumTotalBytes: number;
  readonly #schedule = new AccountSchedule<Item>();
  readonly #entries = new Map<QueueTicket, QueueEntry<Item>>();
  readonly #expiry = new IndexedHeap<QueueEntry<Item>>({
    before: (first, second) => expiresBefore(first, second),
    placeOf: (entry) => entry.expiryPlace,
    setPlace: (entry, place) => {
      entry.expiryPlace = place;
    },
  });
  #expired: ExpiredItem<Item>[] = [];
  #totalBytes = 0;
  #concurrency = 1;
  #nextTicket = 1;

  constructor(options: FairQueueOptions) {
    this.#random = options.random;
    this.#boundsOf = options.boundsOf ?? (() => DEFAULT_QUEUE_BOUNDS);
    this.#maximumTotalBytes = options.maximumTotalBytes ?? DEFAULT_TOTAL_BYTES;
  }

  /** Number of queued calls. */
  get size(): number {
    return this.#entries.size;
  }

  /** Backlog of each account with queued calls. */
  backlogs(): AccountBacklog[] {
    return this.#schedule.waiting().map((account) => ({
      accountId: account.accountId,
      requests: account.requests,
      bytes: account.bytes,
    }));
  }

  /**
   * Sets the cost processed per millisecond: the effective number of concurrent
   * calls according to `SlotThroughput`. Used only for wait estimates.
   */
  setConcurrency(concurrency: number): void {
    this.#concurrency = concurrency > 0 ? concurrency : 1;
  }

  /**
   * Sets the relative weight of each account. An account that is missing or has
   * no share gets `SMALLEST_WEIGHT` of the total.
   */
  setShares(shares: ReadonlyMap<string, number>): void {
    this.#schedule.setShares(shares);
  }

  /** Estimated wait of a new call, milliseconds. */
  estimateWait(accountId: string, priority: number): number {
    return this.#schedule.estimateWait(accountId, {
      priority: clampPriority(priority),
      concurrency: this.#concurrency,
    });
  }

  /** Queues a call, or refuses it if a limit is reached. */
  enqueue(request: QueueRequest<Item>, now: number): EnqueueResult {
    const bounds = this.#boundsOf(request.accountId);
    const wait = this.estimateWait(request.accountId, request.priority);
    if (wait > bounds.maximumWaitMilliseconds || this.#isFull(request)) {
      const options = { random: this.#random };
      const retryAfterMilliseconds = retryDelayMilliseconds(wait, options);
      return { queued: false, reason: "queue_full", retryAfterMilliseconds };
    }
    const entry = this.#createEntry(request, now);
    this.#entries.set(entry.ticket, entry);
    this.#totalBytes += entry.bytes + BYTES_PER_ENTRY;
    this.#expiry.push(entry);
    entry.account.add(entry);
    this.#schedule.activate(entry.account);
    return { queued: true, ticket: entry.ticket };
  }

  /** Removes the next call and charges its account. */
  dequeue(now: number): DequeuedItem<Item> | undefined {
    this.#collectExpired(now);
    const entry = this.#schedule.next()?.first();
    if (entry === undefined) return undefined;
    this.#schedule.recordServed(entry.account, entry.cost);
    this.#removeEntry(entry);
    return {
      ticket: entry.ticket,
      accountId: entry.account.accountId,
      item: entry.item,
      chargedCost: entry.cost,
      waitedMilliseconds: now - entry.enqueuedAt,
    };
  }

  /**
   * Removes and returns the calls that can no longer finish in time or have
   * waited too long, including those skipped by `dequeue`, so that their
   * callers are answered immediately.
   */
  takeExpired(now: number): readonly ExpiredItem<Item>[] {
    this.#collectExpired(now);
    const expired = this.#expired;
    if (expired.length > 0) this.#expired = [];
    return expired;
  }

  /** Removes a cancelled call; returns false if it is no longer queued. */
  remove(ticket: QueueTicket): boolean {
    const entry = this.#entries.get(ticket);
    if (entry === undefined) return false;
    this.#removeEntry(entry);
    return true;
  }

  /**
   * Corrects the charge of an account, in runner-milliseconds: positive if a
   * call costs more than charged, negative if it cost less.
   */
  charge(accountId: string, costDifference: number): void {
    if (costDifference === 0 || !Number.isFinite(costDifference)) return;
    this.#schedule.charge(this.#schedule.open(accountId), costDifference);
  }

  /**
   * True if a limit of the account or of the queue is reached. One account may
   * hold no more than the free space of the whole queue: regardless of the load
   * from large accounts, space remains for an account without queued calls.
   */
  #isFull(request: QueueRequest<Item>): boolean {
    const bounds = this.#boundsOf(request.accountId);
    const account = this.#schedule.find(request.accountId);
    const requests = (account?.requests ?? 0) + 1;
    const bytes = (account?.bytes ?? 0) + request.bytes;
    if (requests > bounds.maximumRequests) return true;
    if (bytes > bounds.maximumBytes) return true;
    const free = this.#maximumTotalBytes - this.#totalBytes;
    return bytes + requests * BYTES_PER_ENTRY > free;
  }

  #createEntry(request: QueueRequest<Item>, now: number): QueueEntry<Item> {
    const { accountId, deadlineAt, estimatedCost } = request;
    const latestUsefulStartAt = deadlineAt -
      (request.minimumRemainingMilliseconds ?? 0);
    const maximumWaitUntil = now +
      this.#boundsOf(accountId).maximumWaitMilliseconds;
    return {
      ticket: this.#nextTicket++,
      account: this.#schedule.open(accountId),
      item: request.item,
      priority: clampPriority(request.priority),
      deadlineAt,
      latestStartAt: Math.min(latestUsefulStartAt, maximumWaitUntil),
      isLimitedByMaximumWait: maximumWaitUntil < latestUsefulStartAt,
      enqueuedAt: now,
      cost: Number.isFinite(estimatedCost)
        ? Math.max(SMALLEST_COST, estimatedCost)
        : SMALLEST_COST,
      bytes: request.bytes,
      accountPlace: -1,
      expiryPlace: -1,
    };
  }

  #collectExpired(now: number): void {
    for (;;) {
      const entry = this.#expiry.peek();
      if (entry === undefined || entry.latestStartAt > now) return;
      this.#removeEntry(entry);
      this.#expired.push({
        ticket: entry.ticket,
        accountId: entry.account.accountId,
        item: entry.item,
        reason: entry.isLimitedByMaximumWait
          ? "waited_too_long"
          : "cannot_finish_in_time",
      });
    }
  }

  #removeEntry(entry: QueueEntry<Item>): void {
    this.#entries.delete(entry.ticket);
    this.#totalBytes -= entry.bytes + BYTES_PER_ENTRY;
    this.#expiry.remove(entry);
    entry.account.remove(entry);
    this.#schedule.deactivate(entry.account);
  }
}

function expiresBefore<Item>(
  first: QueueEntry<Item>,
  second: QueueEntry<Item>,
): boolean {
  if (first.latestStartAt !== second.latestStartAt) {
    return first.latestStartAt < second.latestStartAt;
  }
  return first.ticket < second.ticket;
}
