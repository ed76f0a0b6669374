/** How many retries a client allows itself. */
export interface RetryBudgetOptions {
  /** Retries earned per request that succeeded. */
  readonly share: number;
  /** Retries allowed before any success, and the most that are saved up. */
  readonly reserve: number;
}

/**
 * Limits retries to a share of the successes. What goes wrong without it: in
 * an overload every caller retries, which multiplies the load that caused the
 * failures and keeps the system from recovering.
 */
export class RetryBudget {
  readonly #options: RetryBudgetOptions;
  #left: number;

  constructor(options: RetryBudgetOptions) {
    this.#options = options;
    this.#left = options.reserve;
  }

  /** Earns a share of a retry. */
  recordSuccess(): void {
    const { share, reserve } = this.#options;
    this.#left = Math.min(reserve, this.#left + share);
  }

  /** Takes one retry; false when none is left. */
  spend(): boolean {
    if (this.#left < 1) return false;
    this.#left--;
    return true;
  }
}
