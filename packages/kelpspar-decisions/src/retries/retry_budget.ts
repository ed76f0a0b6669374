import type { SlidingCounterOptions } from "./sliding_counter.ts";
import { SlidingCounter } from "./sliding_counter.ts";

const DEFAULT_SHARE = 0.1;
const DEFAULT_FLOOR = 2;

/** How many retries are allowed. */
export interface RetryBudgetOptions extends SlidingCounterOptions {
  /** Retries allowed for each recent success; default 0.1. */
  readonly share?: number;
  /** Retries allowed in a window without any success; default 2. */
  readonly floor?: number;
}

/** Whose budgets a retry is taken from. */
export interface RetryBudgetKey {
  readonly accountId: string;
  /** The service that runs the stage. */
  readonly serviceId: string;
}

interface Tally {
  readonly successes: SlidingCounter;
  readonly retries: SlidingCounter;
}

/**
 * Retries are a share of recent successes, counted both by client account and
 * by service. Without a budget a service that starts to fail gets each call
 * several times over and can't recover, and with retries at each of four
 * stages one request becomes many; one sees a service's calls grow as its
 * answers become fewer. As the successes stop, so do the retries.
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

  /** True when both budgets have room for one more retry. */
  allows(key: RetryBudgetKey, now: number): boolean {
    return this.#tallies(key).every((tally) => this.#hasRoom(tally, now));
  }

  /** Takes a retry from both budgets; false when either has no room. */
  trySpend(key: RetryBudgetKey, now: number): boolean {
    const tallies = this.#tallies(key);
    if (!tallies.every((tally) => this.#hasRoom(tally, now))) return false;
    for (const tally of tallies) tally.retries.add(1, now);
    return true;
  }

  #hasRoom(tally: Tally, now: number): boolean {
    const share = this.#options.share ?? DEFAULT_SHARE;
    const floor = this.#options.floor ?? DEFAULT_FLOOR;
    const allowed = floor + share * tally.successes.sum(now);
    return tally.retries.sum(now) + 1 <= allowed;
  }

  #tallies(key: RetryBudgetKey): readonly [Tally, Tally] {
    return [
      this.#open(this.#accounts, key.accountId),
      this.#open(this.#services, key.serviceId),
    ];
  }

  #open(tallies: Map<string, Tally>, id: string): Tally {
    const known = tallies.get(id);
    if (known !== undefined) return known;
    const tally = {
      successes: new SlidingCounter(this.#options),
      retries: new SlidingCounter(this.#options),
    };
    tallies.set(id, tally);
    return tally;
  }
}
