/** Inputs of a `FadingRatio`. */
export interface FadingRatioOptions {
  /** Weight of the newest sample, 0 to 1. */
  readonly weight: number;
  /** Time in which half of the difference to 1 is forgotten, milliseconds. */
  readonly halfLifeMilliseconds: number;
}

/** Moving average of a ratio that returns to 1 while there are no samples. */
export class FadingRatio {
  readonly #options: FadingRatioOptions;
  #ratio = 1;
  #at = 0;

  constructor(options: FadingRatioOptions) {
    this.#options = options;
  }

  /** The average, faded to `now`; monotonic milliseconds. */
  at(now: number): number {
    if (this.#ratio === 1) return 1;
    const halfLives = Math.max(0, now - this.#at) /
      this.#options.halfLifeMilliseconds;
    return 1 + (this.#ratio - 1) * 0.5 ** halfLives;
  }

  /** Records a sample; `share` below 1 lowers its weight. */
  record(ratio: number, now: number, share = 1): void {
    const current = this.at(now);
    this.#ratio = current + this.#options.weight * share * (ratio - current);
    this.#at = Math.max(this.#at, now);
  }

  /** Forgets all samples. */
  reset(): void {
    this.#ratio = 1;
  }

  /** Raises the average to `ratio` if it is lower. */
  raise(ratio: number, now: number): void {
    if (ratio <= this.at(now)) return;
    this.#ratio = ratio;
    this.#at = Math.max(this.#at, now);
  }
}
