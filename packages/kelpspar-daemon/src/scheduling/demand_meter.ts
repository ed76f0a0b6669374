import type {
  AccountBacklog,
  AccountDemand,
} from "kelpspar-decisions/fairness";

const RATE_TIME_CONSTANT_SECONDS = 5;

interface AccountUsage {
  running: number;
  /** Exponentially decaying cost, runner-milliseconds. */
  recentCost: number;
  updatedAt: number;
}

/** Measures each client account's demand for each service on this daemon. */
export class DemandMeter {
  readonly #usages = new Map<string, Map<string, AccountUsage>>();

  started(serviceId: string, accountId: string): void {
    this.#usageOf(serviceId, accountId).running++;
  }

  ended(
    serviceId: string,
    call: { readonly accountId: string; readonly cost: number },
  ): void {
    const usage = this.#usageOf(serviceId, call.accountId);
    usage.running--;
    usage.recentCost += call.cost;
  }

  /** The demand of every account with any, sorted by account. */
  read(serviceId: string, options: {
    readonly backlogs: readonly AccountBacklog[];
    /** The account of each parked call. */
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
    for (const accountId of waiting.keys()) this.#usageOf(serviceId, accountId);
    const usages = this.#usages.get(serviceId) ??
      new Map<string, AccountUsage>();
    return [...usages].map(([accountId, usage]) => ({
      accountId,
      demand: usage.running + (waiting.get(accountId) ?? 0),
      usageRate: this.#rateOf(usage, options.now),
    })).filter((row) => row.demand > 0 || row.usageRate > 1)
      .sort((left, right) => left.accountId < right.accountId ? -1 : 1);
  }

  #rateOf(usage: AccountUsage, now: number): number {
    const seconds = (now - usage.updatedAt) / 1_000;
    usage.recentCost *= Math.exp(-seconds / RATE_TIME_CONSTANT_SECONDS);
    usage.updatedAt = now;
    return usage.recentCost / RATE_TIME_CONSTANT_SECONDS;
  }

  #usageOf(serviceId: string, accountId: string): AccountUsage {
    let accounts = this.#usages.get(serviceId);
    if (accounts === undefined) {
      accounts = new Map();
      this.#usages.set(serviceId, accounts);
    }
    let usage = accounts.get(accountId);
    if (usage === undefined) {
      usage = { running: 0, recentCost: 0, updatedAt: 0 };
      accounts.set(accountId, usage);
    }
    return usage;
  }
}
