import type { TimerService } from "kelpspar-shared";

const MILLISECONDS_PER_SECOND = 1_000;

/** A token bucket with a burst of one second. Rate 0 means no limit. */
export class RateLimit {
  readonly #timer: TimerService;
  #ratePerSecond: number;
  #tokens: number;
  #refilledAt: number;

  constructor(timer: TimerService, ratePerSecond: number) {
    this.#timer = timer;
    this.#ratePerSecond = ratePerSecond;
    this.#tokens = Math.max(1, ratePerSecond);
    this.#refilledAt = timer.now();
  }

  setRate(ratePerSecond: number): void {
    if (ratePerSecond === this.#ratePerSecond) return;
    this.#ratePerSecond = ratePerSecond;
    this.#tokens = Math.max(1, ratePerSecond);
    this.#refilledAt = this.#timer.now();
  }

  /** Consumes a token; false when there is none. */
  tryConsume(): boolean {
    if (this.#ratePerSecond === 0) return true;
    this.#refill();
    if (this.#tokens < 1) return false;
    this.#tokens -= 1;
    return true;
  }

  /** Time until a token is available, milliseconds. */
  get waitMilliseconds(): number {
    if (this.#ratePerSecond === 0) return 0;
    this.#refill();
    const missing = Math.max(0, 1 - this.#tokens);
    return missing * MILLISECONDS_PER_SECOND / this.#ratePerSecond;
  }

  #refill(): void {
    const now = this.#timer.now();
    const seconds = (now - this.#refilledAt) / MILLISECONDS_PER_SECOND;
    const capacity = Math.max(1, this.#ratePerSecond);
    this.#tokens = Math.min(
      capacity,
      this.#tokens + seconds * this.#ratePerSecond,
    );
    this.#refilledAt = now;
  }
}
