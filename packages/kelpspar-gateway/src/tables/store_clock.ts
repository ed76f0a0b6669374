import type { TimerService } from "kelpspar-shared";

/** The store's steady clock, as of the newest answer that contained it. */
export class StoreClock {
  readonly #timer: TimerService;
  #offset: number | undefined;

  constructor(timer: TimerService) {
    this.#timer = timer;
  }

  /** Records the store's clock, milliseconds, from an answer received now. */
  observe(clockMilliseconds: number): void {
    this.#offset = clockMilliseconds - this.#timer.now();
  }

  /** The store's clock now, milliseconds; undefined if it isn't known. */
  get now(): number | undefined {
    return this.#offset === undefined
      ? undefined
      : this.#timer.now() + this.#offset;
  }
}
