const DEFAULT_WINDOW_MILLISECONDS = 10_000;
const DEFAULT_SLICES = 10;

/** Length and resolution of the window. */
export interface SlidingWindowCounterOptions {
  /** Default 10,000 milliseconds. */
  readonly windowMilliseconds?: number;
  /** Slices that the window is divided into; default 10. */
  readonly slices?: number;
}

/**
 * Counts events within a sliding window. The window advances by whole slices:
 * an event counts until its slice is `slices` slices old, by default for nine
 * tenths of the window to the whole window.
 */
export class SlidingWindowCounter {
  readonly #counts: Float64Array;
  readonly #sliceMilliseconds: number;
  #sum = 0;
  #slice = 0;

  constructor(options: SlidingWindowCounterOptions = {}) {
    const window = options.windowMilliseconds ?? DEFAULT_WINDOW_MILLISECONDS;
    this.#counts = new Float64Array(options.slices ?? DEFAULT_SLICES);
    this.#sliceMilliseconds = window / this.#counts.length;
  }

  add(amount: number, now: number): void {
    this.#advanceTo(now);
    const place = this.#slice % this.#counts.length;
    this.#counts[place] = (this.#counts[place] ?? 0) + amount;
    this.#sum += amount;
  }

  /** The sum of the amounts added within the window. */
  sum(now: number): number {
    this.#advanceTo(now);
    return this.#sum;
  }

  #advanceTo(now: number): void {
    const slice = Math.floor(now / this.#sliceMilliseconds);
    if (slice <= this.#slice) return;
    if (slice - this.#slice >= this.#counts.length) this.#clear();
    while (this.#slice < slice) {
      this.#slice = this.#sum === 0 ? slice : this.#slice + 1;
      this.#evictOldestSlice();
    }
  }

  #evictOldestSlice(): void {
    const place = this.#slice % this.#counts.length;
    this.#sum -= this.#counts[place] ?? 0;
    this.#counts[place] = 0;
  }

  #clear(): void {
    this.#counts.fill(0);
    this.#sum = 0;
  }
}
