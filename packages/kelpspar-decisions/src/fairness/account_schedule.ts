import { AccountQueue } from "./account_queue.ts";
import { normalizeWeights, SMALLEST_WEIGHT } from "./account_weights.ts";
import { IndexedHeap } from "./indexed_heap.ts";

/** Weight of a new call in the mean call cost. */
const COST_SMOOTHING = 0.1;

/**
 * Weighted fair queueing by client account. Each account has a virtual time:
 * its charged cost divided by its weight. The waiting account with the smallest
 * virtual time goes next.
 *
 * Source: start-time fair queueing (Goyal, Vin and Cheng, 1996) and the virtual
 * token counter (Sheng et al., "Fairness in Serving Large Language Models",
 * 2024), which charges the actual cost of a call.
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
  #lastDeactivated: AccountQueue<Item> | undefined;
  #nextOrder = 0;
  #meanCost = 0;

  /** Accounts with queued calls. */
  waiting(): readonly AccountQueue<Item>[] {
    return this.#waiting.values();
  }

  /** Next account to serve. */
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
      virtualTime: this.#baselineVirtualTime(),
    });
    this.#accounts.set(accountId, account);
    return account;
  }

  /**
   * Activates an account with its first queued call. Its virtual time is raised
   * to the minimum of the waiting accounts. Otherwise an account that was idle
   * for an hour would have an hour of credit and block all others until it was
   * spent; the symptom is queue times of other accounts that jump when it
   * returns.
   */
  activate(account: AccountQueue<Item>): void {
    if (this.#waiting.has(account)) return;
    this.#virtualTime = this.#baselineVirtualTime();
    account.virtualTime = Math.max(account.virtualTime, this.#virtualTime);
    this.#waiting.push(account);
    this.#waitingWeight += account.weight;
  }

  /** Deactivates an account that has no queued calls left. */
  deactivate(account: AccountQueue<Item>): void {
    if (account.requests > 0 || !this.#waiting.has(account)) return;
    this.#waiting.remove(account);
    this.#lastDeactivated = account;
    this.#waitingWeight -= account.weight;
    if (this.#waiting.size === 0) this.#waitingWeight = 0;
  }

  /** Records that the next account was served. */
  recordServed(account: AccountQueue<Item>, cost: number): void {
    this.#virtualTime = Math.max(this.#virtualTime, account.virtualTime);
    this.#meanCost += COST_SMOOTHING * (cost - this.#meanCost);
    this.charge(account, cost);
  }

  charge(account: AccountQueue<Item>, cost: number): void {
    account.virtualTime += cost / account.weight;
    this.#waiting.update(account);
  }

  /**
   * Estimated wait of a new call of this account, milliseconds, if
   * `concurrency` calls run at a time and every account that waits now keeps
   * waiting.
   */
  estimateWait(
    accountId: string,
    options: { readonly priority: number; readonly concurrency: number },
  ): number {
    if (this.#waiting.size === 0) return 0;
    const account = this.#accounts.get(accountId);
    const weight = account?.weight ?? this.#weightOf(accountId);
    const level = this.#baselineVirtualTime();
    const isWaiting = account !== undefined && this.#waiting.has(account);
    const start = Math.max(
      account?.virtualTime ?? level,
      isWaiting ? 0 : level,
    );
    const ahead = (account?.costAhead(options.priority) ?? 0) / weight;
    const contendingWeight = this.#waitingWeight + (isWaiting ? 0 : weight);
    // Even the first call in the queue waits for a free slot.
    const cost = Math.max(0, start + ahead - level) * contendingWeight;
    return (cost + this.#meanCost) / options.concurrency;
  }

  /**
   * Applies new shares. An account's lead over the others is preserved as cost:
   * if it were preserved as virtual time, an account that was charged at a tiny
   * weight and then received a large one would wait far too long.
   */
  setShares(shares: ReadonlyMap<string, number>): void {
    this.#weights = normalizeWeights(shares);
    this.#virtualTime = this.#baselineVirtualTime();
    this.#waitingWeight = 0;
    for (const account of this.#accounts.values()) {
      this.#updateWeight(account);
      if (this.#waiting.has(account)) this.#waitingWeight += account.weight;
      else this.#removeIfIdle(account);
    }
    this.#waiting.rebuild();
  }

  #updateWeight(account: AccountQueue<Item>): void {
    const weight = this.#weightOf(account.accountId);
    const lead = account.virtualTime - this.#virtualTime;
    account.virtualTime = this.#virtualTime + lead * account.weight / weight;
    account.weight = weight;
  }

  /** An idle account without a lead is equivalent to an unknown account. */
  #removeIfIdle(account: AccountQueue<Item>): void {
    if (account.virtualTime > this.#virtualTime) return;
    if (account === this.#lastDeactivated) return;
    this.#accounts.delete(account.accountId);
  }

  /**
   * Virtual time at which an account becomes active. While no account waits, it
   * is that of the last active account: capacity that this account used alone
   * was unused share of others and is not charged against it later.
   */
  #baselineVirtualTime(): number {
    const reference = this.#waiting.peek() ?? this.#lastDeactivated;
    return Math.max(this.#virtualTime, reference?.virtualTime ?? 0);
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
