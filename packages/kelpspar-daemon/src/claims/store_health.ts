const FAILURES_UNTIL_DOWN = 3;

/**
 * Tells whether the table is worth asking. What goes wrong otherwise: during
 * an outage every request that needs a claim waits for its own timeout before
 * it is refused. After a few failures in a row requests are refused at once,
 * until a read of the daemon's own is answered.
 */
export class StoreHealth {
  #failures = 0;

  get isUsable(): boolean {
    return this.#failures < FAILURES_UNTIL_DOWN;
  }

  succeed(): void {
    this.#failures = 0;
  }

  fail(): void {
    this.#failures++;
  }
}
