import { AccountQueue } from "./account_queue.ts";
import { normalizeWeights, SMALLEST_WEIGHT } from "./account_weights.ts";
import { IndexedHeap } from "./indexed_heap.ts";

/** Weight of a call in the mean cost of calls. */
const COST_SMOOTHING = 0.1;

/**
 * Whose turn it is: weighted fair queueing by client account. Each account has
 * a virtual time, its charged cost divided by its weight; the waiting account
 * with the smallest goes next.
 *
 * Source: start-time fair queueing (Goyal, Vin and Cheng, 1996) and the
 * virtual token counter (Sheng et al., "Fairness in Serving Large Language
 * Models", 2024), which charges what a call really cost.
 */
export class AccountSchedule<Item> {
  readonly #accounts = new Map<string, AccountQueue<Item>>();
  readonly #waiting = new IndexedHeap<AccountQueue<Item>>({
    before: (first, second) => isSooner(first, second),
    placeOf: (account) => account.place,
    setPlace: (account, place) => {
      account.place = place;
    },
  });
  #weights = new Map<string, number>();
  #virtualTime = 0;
  #waitingWeight = 0;
  #lastToEmpty: AccountQueue<Item> | undefined;
  #nextOrder = 0;
  #meanCost = 0;

  /** The accounts that have calls waiting. */
  waiting(): readonly AccountQueue<Item>[] {
    return this.#waiting.values();
  }

  /** The account whose turn it is. */
  next(): AccountQueue<Item> | undefined {
    return this.#waiting.peek();
  }

  find(accountId: string): AccountQueue<Item> | undefined {
    return this.#accounts.get(accountId);
  }

  open(accountId: string): AccountQueue<Item> {
    const known = this.#accounts.get(accountId);
    if (known !== undefined) return known;
    const account = new AccountQueue<Item>(accountId, {
      order: this.#nextOrder++,
      weight: this.#weightOf(accountId),
      virtualTime: this.#level(),
    });
    this.#accounts.set(accountId, account);
    return account;
  }

  /**
   * Takes up an account whose first call now waits. Its virtual time is lifted
   * to the least of those that wait. Without that, an account that was idle
   * for an hour would hold an hour's credit and shut all others out until it
   * was spent; one would see their queue times jump when it returns.
   */
  start(account: AccountQueue<Item>): void {
    if (this.#waiting.has(account)) return;
    this.#virtualTime = this.#level();
    account.virtualTime = Math.max(account.virtualTime, this.#virtualTime);
    this.#waiting.push(account);
    this.#waitingWeight += account.weight;
  }

  /** Ends an account's turns when it has no call waiting any more. */
  stop(account: AccountQueue<Item>): void {
    if (account.requests > 0 || !this.#waiting.has(account)) return;
    this.#waiting.remove(account);
    this.#lastToEmpty = account;
    this.#waitingWeight -= account.weight;
    if (this.#waiting.size === 0) this.#waitingWeight = 0;
  }

  /** Notes that the account whose turn it is was served. */
  serve(account: AccountQueue<Item>, cost: number): void {
    this.#virtualTime = Math.max(this.#virtualTime, account.virtualTime);
    this.#meanCost += COST_SMOOTHING * (cost - this.#meanCost);
    this.charge(account, cost);
  }

  charge(account: AccountQueue<Item>, cost: number): void {
    account.virtualTime += cost / account.weight;
    this.#waiting.update(account);
  }

  /**
   * How long a new call of this account would wait until its turn,
   * milliseconds, when `concurrency` calls run at a time and every account
   * that waits now goes on waiting.
   */
  estimateWait(
    accountId: string,
    options: { readonly priority: number; readonly concurrency: number },
  ): number {
    if (this.#waiting.size === 0) return 0;
    const account = this.#accounts.get(accountId);
    const weight = account?.weight ?? this.#weightOf(accountId);
    const level = this.#level();
    const waits = account !== undefined && this.#waiting.has(account);
    const start = Math.max(account?.virtualTime ?? level, waits ? 0 : level);
    const ahead = (account?.costAhead(options.priority) ?? 0) / weight;
    const contenders = this.#waitingWeight + (waits ? 0 : weight);
    // The first in line waits too, until a slot is free.
    const cost = Math.max(0, start + ahead - level) * contenders;
    return (cost + this.#meanCost) / options.concurrency;
  }

  /**
   * Takes new shares. An account's lead over the others is kept in cost: were
   * it kept in virtual time, an account that was charged at a tiny weight and
   * then given a large one would wait for ages.
   */
  setShares(shares: ReadonlyMap<string, number>): void {
    this.#weights = normalizeWeights(shares);
    this.#virtualTime = this.#level();
    this.#waitingWeight = 0;
    for (const account of this.#accounts.values()) {
      this.#reweigh(account);
      if (this.#waiting.has(account)) this.#waitingWeight += account.weight;
      else this.#forgetIfIdle(account);
    }
    this.#waiting.rebuild();
  }

  #reweigh(account: AccountQueue<Item>): void {
    const weight = this.#weightOf(account.accountId);
    const lead = account.virtualTime - this.#virtualTime;
    account.virtualTime = this.#virtualTime + lead * account.weight / weight;
    account.weight = weight;
  }

  /** An idle account without a debt is the same as one never seen. */
  #forgetIfIdle(account: AccountQueue<Item>): void {
    if (account.virtualTime > this.#virtualTime) return;
    if (account === this.#lastToEmpty) return;
    this.#accounts.delete(account.accountId);
  }

  /**
   * The virtual time at which an account starts anew. While no account waits
   * it is that of the last one that did: what that one ran alone was unused
   * share lent to it, and is not held against it.
   */
  #level(): number {
    const least = this.#waiting.peek() ?? this.#lastToEmpty;
    return Math.max(this.#virtualTime, least?.virtualTime ?? 0);
  }

  #weightOf(accountId: string): number {
    return this.#weights.get(accountId) ?? SMALLEST_WEIGHT;
  }
}

function isSooner<Item>(
  first: AccountQueue<Item>,
  second: AccountQueue<Item>,
): boolean {
  if (first.virtualTime !== second.virtualTime) {
    return first.virtualTime < second.virtualTime;
  }
  return first.order < second.order;
}
