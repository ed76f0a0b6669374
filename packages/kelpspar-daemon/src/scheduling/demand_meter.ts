import type {
  AccountBacklog,
  AccountDemand,
} from "kelpspar-decisions/fairness";

const RATE_SECONDS = 5;

interface AccountUse {
  running: number;
  /** Cost charged of late, decaying; runner-milliseconds. */
  recentCost: number;
  updatedAt: number;
}

/** Counts what each client account asks of each service here. */
export class DemandMeter {
  readonly #uses = new Map<string, Map<string, AccountUse>>();

  started(serviceId: string, accountId: string): void {
    this.#open(serviceId, accountId).running++;
  }

  ended(
    serviceId: string,
    call: { readonly accountId: string; readonly cost: number },
  ): void {
    const use = this.#open(serviceId, call.accountId);
    use.running--;
    use.recentCost += call.cost;
  }

  /** The demand of every account that has some, sorted by account. */
  read(serviceId: string, options: {
    readonly backlogs: readonly AccountBacklog[];
    /** The account of each call that waits outside the queue. */
    readonly parked: readonly string[];
    readonly now: number;
  }): readonly AccountDemand[] {
    const waiting = new Map<string, number>();
    for (const { accountId, requests } of options.backlogs) {
      waiting.set(accountId, requests);
    }
    for (const accountId of options.parked) {
      waiting.set(accountId, (waiting.get(accountId) ?? 0) + 1);
    }
    for (const accountId of waiting.keys()) this.#open(serviceId, accountId);
    const uses = this.#uses.get(serviceId) ?? new Map<string, AccountUse>();
    return [...uses].map(([accountId, use]) => ({
      accountId,
      demand: use.running + (waiting.get(accountId) ?? 0),
      usageRate: this.#rateOf(use, options.now),
    })).filter((row) => row.demand > 0 || row.usageRate > 1)
      .sort((left, right) => left.accountId < right.accountId ? -1 : 1);
  }

  #rateOf(use: AccountUse, now: number): number {
    const seconds = (now - use.updatedAt) / 1_000;
    use.recentCost *= Math.exp(-seconds / RATE_SECONDS);
    use.updatedAt = now;
    return use.recentCost / RATE_SECONDS;
  }

  #open(serviceId: string, accountId: string): AccountUse {
    let accounts = this.#uses.get(serviceId);
    if (accounts === undefined) {
      accounts = new Map();
      this.#uses.set(serviceId, accounts);
    }
    let use = accounts.get(accountId);
    if (use === undefined) {
      use = { running: 0, recentCost: 0, updatedAt: 0 };
      accounts.set(accountId, use);
    }
    return use;
  }
}
