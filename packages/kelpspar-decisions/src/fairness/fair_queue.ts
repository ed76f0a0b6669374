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
 * A call costs at least this, runner-milliseconds: calls that cost nothing
 * would never move their account's virtual time, and so shut out the others.
 */
const SMALLEST_COST = 1;
const DEFAULT_TOTAL_BYTES = 32 * 1024 * 1024;
/** Memory a waiting call holds beside its input, bytes. */
const BYTES_PER_ENTRY = 1_024;

/** How a queue is bounded. */
export interface FairQueueOptions {
  /** Jitters the waits that refused callers are told. */
  readonly random: RandomSource;
  /** The bounds of an account; default `DEFAULT_QUEUE_BOUNDS`. */
  readonly boundsOf?: (accountId: string) => QueueBounds;
  /** Bytes that all accounts together may keep waiting; default 32 MiB. */
  readonly maximumTotalBytes?: number;
}

/** What waits for one client account. */
export interface AccountBacklog {
  readonly accountId: string;
  readonly requests: number;
  readonly bytes: number;
}

/**
 * The queue in front of one service's concurrency. It shares the service
 * among client accounts by weight; inside an account the most urgent priority
 * goes first, then the earliest deadline. Over any time in which two accounts
 * wait throughout, what they were charged, each divided by its weight, differs
 * by at most the sum, over the two, of (largest estimate + 2 x calls running x
 * largest correction) / weight.
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

  /** Calls that wait. */
  get size(): number {
    return this.#entries.size;
  }

  /** What waits, for each account that has calls waiting. */
  backlogs(): AccountBacklog[] {
    return this.#schedule.waiting().map((account) => ({
      accountId: account.accountId,
      requests: account.requests,
      bytes: account.bytes,
    }));
  }

  /**
   * Says how much cost is worked off in a millisecond: the calls that run at a
   * time, by `SlotPace`. Only estimates of waits use it.
   */
  setConcurrency(concurrency: number): void {
    this.#concurrency = concurrency > 0 ? concurrency : 1;
  }

  /**
   * Sets the weight of each account, relative to the others. An account that
   * is missing or has none gets `SMALLEST_WEIGHT` of the whole.
   */
  setShares(shares: ReadonlyMap<string, number>): void {
    this.#schedule.setShares(shares);
  }

  /** How long a new call would wait for its turn, milliseconds. */
  estimateWait(accountId: string, priority: number): number {
    return this.#schedule.estimateWait(accountId, {
      priority: clampPriority(priority),
      concurrency: this.#concurrency,
    });
  }

  /** Lets a call wait, or refuses it when a bound is reached. */
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
    this.#schedule.start(entry.account);
    return { queued: true, ticket: entry.ticket };
  }

  /** Takes out the call whose turn it is and charges its account. */
  dequeue(now: number): DequeuedItem<Item> | undefined {
    this.#collectExpired(now);
    const entry = this.#schedule.next()?.first();
    if (entry === undefined) return undefined;
    this.#schedule.serve(entry.account, entry.cost);
    this.#takeOut(entry);
    return {
      ticket: entry.ticket,
      accountId: entry.account.accountId,
      item: entry.item,
      chargedCost: entry.cost,
      waitedMilliseconds: now - entry.enqueuedAt,
    };
  }

  /**
   * Takes out the calls that can't finish in time any more or have waited too
   * long, those that `dequeue` passed over included, so that their callers
   * are told at once.
   */
  expired(now: number): readonly ExpiredItem<Item>[] {
    this.#collectExpired(now);
    const expired = this.#expired;
    if (expired.length > 0) this.#expired = [];
    return expired;
  }

  /** Takes out a call that was cancelled; false when it waits no more. */
  remove(ticket: QueueTicket): boolean {
    const entry = this.#entries.get(ticket);
    if (entry === undefined) return false;
    this.#takeOut(entry);
    return true;
  }

  /**
   * Corrects what an account was charged, in runner-milliseconds: more as a
   * call turns out to cost more, less (negative) when it cost less.
   */
  charge(accountId: string, costDifference: number): void {
    if (costDifference === 0 || !Number.isFinite(costDifference)) return;
    this.#schedule.charge(this.#schedule.open(accountId), costDifference);
  }

  /**
   * True when a bound of the account or of the queue is reached. One account
   * may hold no more than what is free in the whole queue: however much the
   * large ones send, room is left for one that has nothing waiting.
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
    const latest = deadlineAt - (request.minimumRemainingMilliseconds ?? 0);
    const longest = now + this.#boundsOf(accountId).maximumWaitMilliseconds;
    return {
      ticket: this.#nextTicket++,
      account: this.#schedule.open(accountId),
      item: request.item,
      priority: clampPriority(request.priority),
      deadlineAt,
      latestStartAt: Math.min(latest, longest),
      waitsTooLong: longest < latest,
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
      this.#takeOut(entry);
      this.#expired.push({
        ticket: entry.ticket,
        accountId: entry.account.accountId,
        item: entry.item,
        reason: entry.waitsTooLong
          ? "waited_too_long"
          : "cannot_finish_in_time",
      });
    }
  }

  #takeOut(entry: QueueEntry<Item>): void {
    this.#entries.delete(entry.ticket);
    this.#totalBytes -= entry.bytes + BYTES_PER_ENTRY;
    this.#expiry.remove(entry);
    entry.account.remove(entry);
    this.#schedule.stop(entry.account);
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
