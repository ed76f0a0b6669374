import type { TimerService } from "kelpspar-shared";

const MILLISECONDS_A_SECOND = 1_000;

/** A token bucket that holds one second's worth. Rate 0 means no limit. */
export class RateLimit {
  readonly #timer: TimerService;
  #ratePerSecond: number;
  #tokens: number;
  #filledAt: number;

  constructor(timer: TimerService, ratePerSecond: number) {
    this.#timer = timer;
    this.#ratePerSecond = ratePerSecond;
    this.#tokens = Math.max(1, ratePerSecond);
    this.#filledAt = timer.now();
  }

  setRate(ratePerSecond: number): void {
    if (ratePerSecond === this.#ratePerSecond) return;
    this.#ratePerSecond = ratePerSecond;
    this.#tokens = Math.max(1, ratePerSecond);
    this.#filledAt = this.#timer.now();
  }

  /** Takes one token; false when there is none. */
  take(): boolean {
    if (this.#ratePerSecond === 0) return true;
    this.#fill();
    if (this.#tokens < 1) return false;
    this.#tokens -= 1;
    return true;
  }

  /** How long until a token is there, milliseconds. */
  get waitMilliseconds(): number {
    if (this.#ratePerSecond === 0) return 0;
    this.#fill();
    const missing = Math.max(0, 1 - this.#tokens);
    return missing * MILLISECONDS_A_SECOND / this.#ratePerSecond;
  }

  #fill(): void {
    const now = this.#timer.now();
    const seconds = (now - this.#filledAt) / MILLISECONDS_A_SECOND;
    const most = Math.max(1, this.#ratePerSecond);
    this.#tokens = Math.min(most, this.#tokens + seconds * this.#ratePerSecond);
    this.#filledAt = now;
  }
}
