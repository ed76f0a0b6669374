import type { SlidingWindowCounterOptions } from "./sliding_window_counter.ts";
import { SlidingWindowCounter } from "./sliding_window_counter.ts";

const DEFAULT_RETRY_SHARE = 0.1;
const DEFAULT_RETRY_FLOOR = 2;

/** Limits on retries. */
export interface RetryBudgetOptions extends SlidingWindowCounterOptions {
  /** Retries allowed per recent success; default 0.1. */
  readonly share?: number;
  /** Retries allowed in a window without successes; default 2. */
  readonly floor?: number;
}

/** Client account and service whose budgets a retry is spent from. */
export interface RetryBudgetKey {
  readonly accountId: string;
  /** The service that runs the stage. */
  readonly serviceId: string;
}

interface Tally {
  readonly successes: SlidingWindowCounter;
  readonly retries: SlidingWindowCounter;
}

/**
 * Limits retries to a share of recent successes, both per client account and
 * per service. Without a budget a failing service receives each call several
 * times and can't recover, and retries at each of four stages multiply the
 * calls of one request; the symptom is a service whose calls grow while its
 * answers become fewer. With the budget, retries stop when successes stop.
 */
export class RetryBudget {
  readonly #options: RetryBudgetOptions;
  readonly #accounts = new Map<string, Tally>();
  readonly #services = new Map<string, Tally>();

  constructor(options: RetryBudgetOptions = {}) {
    this.#options = options;
  }

  /** Counts a stage call that succeeded. */
  recordSuccess(key: RetryBudgetKey, now: number): void {
    for (const tally of this.#tallies(key)) tally.successes.add(1, now);
  }

  /** True when both budgets allow one more retry. */
  allows(key: RetryBudgetKey, now: number): boolean {
    return this.#tallies(key).every((tally) => this.#hasBudget(tally, now));
  }

  /** Spends a retry from both budgets; returns false if either is exhausted. */
  trySpend(key: RetryBudgetKey, now: number): boolean {
    const tallies = this.#tallies(key);
    if (!tallies.every((tally) => this.#hasBudget(tally, now))) return false;
    for (const tally of tallies) tally.retries.add(1, now);
    return true;
  }

  #hasBudget(tally: Tally, now: number): boolean {
    const share = this.#options.share ?? DEFAULT_RETRY_SHARE;
    const floor = this.#options.floor ?? DEFAULT_RETRY_FLOOR;
    const allowed = floor + share * tally.successes.sum(now);
    return tally.retries.sum(now) + 1 <= allowed;
  }

  #tallies(key: RetryBudgetKey): readonly [Tally, Tally] {
    return [
      this.#getOrCreateTally(this.#accounts, key.accountId),
      this.#getOrCreateTally(this.#services, key.serviceId),
    ];
  }

  #getOrCreateTally(tallies: Map<string, Tally>, id: string): Tally {
    const known = tallies.get(id);
    if (known !== undefined) return known;
    const tally = {
      successes: new SlidingWindowCounter(this.#options),
      retries: new SlidingWindowCounter(this.#options),
    };
    tallies.set(id, tally);
    return tally;
  }
}
