import type { TimerService } from "kelpspar-shared";
import { ManualTimer } from "kelpspar-shared";

/** How long an exchange may be silent in these tests, milliseconds. */
export const EXCHANGE_TIMEOUT = 2_000;

/**
 * A manual timer that knows whether an exchange is waiting for its peer, so
 * that a test lets time pass only while none is: real sockets take turns of
 * the event loop that virtual time must not overtake.
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
    if (milliseconds !== EXCHANGE_TIMEOUT) {
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

  /** Lets time pass between exchanges until `promise` settles. */
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
