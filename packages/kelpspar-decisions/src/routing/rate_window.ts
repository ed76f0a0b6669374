const DEFAULT_WINDOW_MILLISECONDS = 10_000;

/**
 * Counts successes and failures of the last one to two windows. Two counters
 * that take turns need no list of calls.
 */
export class RateWindow {
  readonly #windowMilliseconds: number;
  #startedAt = Number.NEGATIVE_INFINITY;
  #successes = 0;
  #failures = 0;
  #earlierSuccesses = 0;
  #earlierFailures = 0;

  constructor(
    options: { readonly windowMilliseconds?: number } = {},
  ) {
    this.#windowMilliseconds = options.windowMilliseconds ??
      DEFAULT_WINDOW_MILLISECONDS;
  }

  /** Counts an outcome at `at`, monotonic milliseconds. */
  add(failed: boolean, at: number): void {
    this.#turn(at);
    if (failed) this.#failures++;
    else this.#successes++;
  }

  /** Outcomes counted up to `at`. */
  totalAt(at: number): number {
    this.#turn(at);
    return this.#failuresInSight() + this.#successes + this.#earlierSuccesses;
  }

  /** Share of failures up to `at`, 0 to 1; 0 without outcomes. */
  failureShareAt(at: number): number {
    const total = this.totalAt(at);
    return total === 0 ? 0 : this.#failuresInSight() / total;
  }

  clear(): void {
    this.#startedAt = Number.NEGATIVE_INFINITY;
    this.#successes = this.#failures = 0;
    this.#earlierSuccesses = this.#earlierFailures = 0;
  }

  #failuresInSight(): number {
    return this.#failures + this.#earlierFailures;
  }

  #turn(at: number): void {
    const age = at - this.#startedAt;
    if (age < this.#windowMilliseconds) return;
    const follows = age < 2 * this.#windowMilliseconds;
    this.#earlierSuccesses = follows ? this.#successes : 0;
    this.#earlierFailures = follows ? this.#failures : 0;
    this.#successes = this.#failures = 0;
    this.#startedAt = at;
  }
}
