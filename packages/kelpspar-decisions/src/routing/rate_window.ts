const DEFAULT_WINDOW_MILLISECONDS = 10_000;

/**
 * Counts successes and failures of the last one to two windows. Rotating two
 * counters avoids a list of calls.
 */
export class RateWindow {
  readonly #windowMilliseconds: number;
  #startedAt = Number.NEGATIVE_INFINITY;
  #successes = 0;
  #failures = 0;
  #previousSuccesses = 0;
  #previousFailures = 0;

  constructor(
    options: { readonly windowMilliseconds?: number } = {},
  ) {
    this.#windowMilliseconds = options.windowMilliseconds ??
      DEFAULT_WINDOW_MILLISECONDS;
  }

  /** Adds an outcome at `at`, monotonic milliseconds. */
  add(failed: boolean, at: number): void {
    this.#rotate(at);
    if (failed) this.#failures++;
    else this.#successes++;
  }

  /** Number of outcomes counted at `at`. */
  totalAt(at: number): number {
    this.#rotate(at);
    return this.#countFailures() + this.#successes + this.#previousSuccesses;
  }

  /** Share of failures at `at`, 0 to 1; 0 without outcomes. */
  failureShareAt(at: number): number {
    const total = this.totalAt(at);
    return total === 0 ? 0 : this.#countFailures() / total;
  }

  clear(): void {
    this.#startedAt = Number.NEGATIVE_INFINITY;
    this.#successes = this.#failures = 0;
    this.#previousSuccesses = this.#previousFailures = 0;
  }

  #countFailures(): number {
    return this.#failures + this.#previousFailures;
  }

  #rotate(at: number): void {
    const age = at - this.#startedAt;
    if (age < this.#windowMilliseconds) return;
    const isAdjacent = age < 2 * this.#windowMilliseconds;
    this.#previousSuccesses = isAdjacent ? this.#successes : 0;
    this.#previousFailures = isAdjacent ? this.#failures : 0;
    this.#successes = this.#failures = 0;
    this.#startedAt = at;
  }
}
