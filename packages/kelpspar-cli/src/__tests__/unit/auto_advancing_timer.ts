import type { TimerService } from "kelpspar-shared";

const SHORTEST_EXCHANGE_TIMEOUT = 5_000;

/**
 * Time passes only by waiting: a wait ends on the next turn of the event loop
 * and moves the clock by its length. Timeouts of exchanges never fire unless a
 * test says so, so no verdict depends on how fast sockets are.
 */
export class WaitingTimer implements TimerService {
  #now = 0;
  readonly #exchangeTimeouts = new Set<() => void>();

  now(): number {
    return this.#now;
  }

  wallClock(): number {
    return this.#now;
  }

  registerTimeout(listener: () => void, milliseconds: number): () => void {
    if (milliseconds >= SHORTEST_EXCHANGE_TIMEOUT) {
      this.#exchangeTimeouts.add(listener);
      return () => this.#exchangeTimeouts.delete(listener);
    }
    const handle = setImmediate(() => {
      this.#now += milliseconds;
      listener();
    });
    return () => clearImmediate(handle);
  }

  registerInterval(): () => void {
    throw new Error("The tool uses no intervals");
  }

  /** Ends every exchange that is under way. */
  expireExchanges(): void {
    for (const listener of this.#exchangeTimeouts) listener();
  }
}
