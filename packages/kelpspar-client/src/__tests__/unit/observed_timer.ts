import type { TimerService } from "kelpspar-shared";
import { ManualTimer } from "kelpspar-shared";

/** Progress timeout of exchanges in these tests. */
export const EXCHANGE_TIMEOUT_MILLISECONDS = 2_000;

/**
 * A manual timer that tracks exchanges that are waiting for their peer and
 * advances virtual time only while there are none. Real sockets need turns of
 * the event loop, and virtual time must not expire their timeouts meanwhile.
 */
export class ObservedTimer implements TimerService {
  readonly manual = new ManualTimer();
  #exchanges = 0;

  now(): number {
    return this.manual.now();
  }

  wallClock(): number {
    return this.manual.wallClock();
  }

  registerTimeout(listener: () => void, milliseconds: number): () => void {
    if (milliseconds !== EXCHANGE_TIMEOUT_MILLISECONDS) {
      return this.manual.registerTimeout(listener, milliseconds);
    }
    this.#exchanges++;
    let isOpen = true;
    const end = (): void => {
      if (isOpen) this.#exchanges--;
      isOpen = false;
    };
    const stop = this.manual.registerTimeout(() => {
      end();
      listener();
    }, milliseconds);
    return () => {
      end();
      stop();
    };
  }

  registerInterval(listener: () => void, milliseconds: number): () => void {
    return this.manual.registerInterval(listener, milliseconds);
  }

  /** Advances time between exchanges until `promise` settles. */
  async drive<Result>(promise: Promise<Result>): Promise<Result> {
    let isSettled = false;
    const settle = (): void => {
      isSettled = true;
    };
    promise.then(settle, settle);
    while (!isSettled) {
      if (this.#exchanges === 0) await this.manual.advance(5);
      else await new Promise((resolve) => setImmediate(resolve));
    }
    return await promise;
  }
}
