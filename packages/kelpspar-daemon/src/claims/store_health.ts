const FAILURES_UNTIL_DOWN = 3;

/**
 * Circuit breaker for the table. Without it every request that needs a claim
 * would wait for its own timeout during an outage. After a few consecutive
 * failures requests are refused at once, until a probe read succeeds.
 */
export class StoreHealth {
  #failures = 0;

  get isUsable(): boolean {
    return this.#failures < FAILURES_UNTIL_DOWN;
  }

  recordSuccess(): void {
    this.#failures = 0;
  }

  recordFailure(): void {
    this.#failures++;
  }
}
