/** Options of a `RetryBudget`. */
export interface RetryBudgetOptions {
  /** Retries earned per successful request. */
  readonly share: number;
  /** Retries allowed before any success, and the maximum that accumulates. */
  readonly reserve: number;
}

/**
 * Limits retries to a share of the successful requests. Without a budget, every
 * caller retries during an overload, which multiplies the load that caused the
 * failures and prevents recovery.
 */
export class RetryBudget {
  readonly #options: RetryBudgetOptions;
  #available: number;

  constructor(options: RetryBudgetOptions) {
    this.#options = options;
    this.#available = options.reserve;
  }

  /** Adds the share of a retry that a success earns. */
  recordSuccess(): void {
    const { share, reserve } = this.#options;
    this.#available = Math.min(reserve, this.#available + share);
  }

  /** Consumes one retry; returns false if none is available. */
  spend(): boolean {
    if (this.#available < 1) return false;
    this.#available--;
    return true;
  }
}
