import type { TimerService } from "kelpspar-shared";

const MIN_EXCHANGE_TIMEOUT_MILLISECONDS = 5_000;

/**
 * A timer whose waits end on the next turn of the event loop and advance the
 * clock by their duration. Timeouts of exchanges fire only on request, so that
 * no test depends on the speed of sockets.
 */
export class AutoAdvancingTimer implements TimerService {
  #now = 0;
  readonly #exchangeTimeouts = new Set<() => void>();

  now(): number {
    return this.#now;
  }

  wallClock(): number {
    return this.#now;
  }

  registerTimeout(listener: () => void, milliseconds: number): () => void {
    if (milliseconds >= MIN_EXCHANGE_TIMEOUT_MILLISECONDS) {
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
    throw new Error("Cannot register an interval: the command line uses none");
  }

  /** Expires the timeout of every exchange in flight. */
  expireExchanges(): void {
    for (const listener of this.#exchangeTimeouts) listener();
  }
}
