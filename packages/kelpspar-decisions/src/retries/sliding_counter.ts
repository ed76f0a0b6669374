const DEFAULT_WINDOW_MILLISECONDS = 10_000;
const DEFAULT_SLICES = 10;

/** How long a counter remembers. */
export interface SlidingCounterOptions {
  /** Default 10,000 milliseconds. */
  readonly windowMilliseconds?: number;
  /** Slices the window is counted in; default 10. */
  readonly slices?: number;
}

/**
 * Counts what happened within a sliding window. The window moves by whole
 * slices: an event counts until its slice is `slices` slices old, so for
 * between nine tenths and the whole of the window by default.
 */
export class SlidingCounter {
  readonly #counts: Float64Array;
  readonly #sliceMilliseconds: number;
  #sum = 0;
  #slice = 0;

  constructor(options: SlidingCounterOptions = {}) {
    const window = options.windowMilliseconds ?? DEFAULT_WINDOW_MILLISECONDS;
    this.#counts = new Float64Array(options.slices ?? DEFAULT_SLICES);
    this.#sliceMilliseconds = window / this.#counts.length;
  }

  add(amount: number, now: number): void {
    this.#moveTo(now);
    const place = this.#slice % this.#counts.length;
    this.#counts[place] = (this.#counts[place] ?? 0) + amount;
    this.#sum += amount;
  }

  /** The sum of what was added within the window. */
  sum(now: number): number {
    this.#moveTo(now);
    return this.#sum;
  }

  #moveTo(now: number): void {
    const slice = Math.floor(now / this.#sliceMilliseconds);
    if (slice <= this.#slice) return;
    if (slice - this.#slice >= this.#counts.length) this.#clear();
    while (this.#slice < slice) {
      this.#slice = this.#sum === 0 ? slice : this.#slice + 1;
      this.#dropOldest();
    }
  }

  #dropOldest(): void {
    const place = this.#slice % this.#counts.length;
    this.#sum -= this.#counts[place] ?? 0;
    this.#counts[place] = 0;
  }

  #clear(): void {
    this.#counts.fill(0);
    this.#sum = 0;
  }
}
