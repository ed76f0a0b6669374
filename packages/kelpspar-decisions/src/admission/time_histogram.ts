import type { StageTimes } from "./stage_times.ts";

const DEFAULT_WINDOW_MILLISECONDS = 30_000;
const SMALLEST_BUCKET_MILLISECONDS = 0.1;
const BUCKET_GROWTH_FACTOR = 1.08;
const BUCKET_COUNT = 230;
const LOG_BUCKET_GROWTH_FACTOR = Math.log(BUCKET_GROWTH_FACTOR);
const REFRESH_MILLISECONDS = 100;

interface Window {
  readonly counts: Uint32Array;
  count: number;
  minimum: number;
}

/**
 * Histogram of the durations observed in the last one to two windows. Buckets
 * grow by 8%, so quantiles are accurate within 4%. Without a new observation
 * for two windows the histogram is empty, so that a slow period does not
 * distort estimates forever.
 */
export class TimeHistogram {
  readonly #windowMilliseconds: number;
  #current = createWindow();
  #previous = createWindow();
  #startedAt = 0;
  #cachedTimes: StageTimes | undefined;
  #cachedAt = Number.NEGATIVE_INFINITY;

  constructor(options: { readonly windowMilliseconds?: number } = {}) {
    this.#windowMilliseconds = options.windowMilliseconds ??
      DEFAULT_WINDOW_MILLISECONDS;
  }

  observe(milliseconds: number, now: number): void {
    if (!(milliseconds >= 0)) return;
    this.#rotateWindows(now);
    const bucket = bucketOf(milliseconds);
    this.#current.counts[bucket] = (this.#current.counts[bucket] ?? 0) + 1;
    this.#current.count++;
    this.#current.minimum = Math.min(this.#current.minimum, milliseconds);
  }

  /** Summary, cached for at most 100 ms; undefined without observations. */
  times(now: number): StageTimes | undefined {
    if (now - this.#cachedAt < REFRESH_MILLISECONDS) return this.#cachedTimes;
    this.#rotateWindows(now);
    this.#cachedAt = now;
    this.#cachedTimes = this.#summarize();
    return this.#cachedTimes;
  }

  #summarize(): StageTimes | undefined {
    const samples = this.#current.count + this.#previous.count;
    if (samples === 0) return undefined;
    return {
      samples,
      minimum: Math.min(this.#current.minimum, this.#previous.minimum),
      p50: this.#quantile(0.5 * samples),
      p95: this.#quantile(0.95 * samples),
      p99: this.#quantile(0.99 * samples),
    };
  }

  #quantile(rank: number): number {
    let below = 0;
    for (let bucket = 0; bucket < BUCKET_COUNT; bucket++) {
      below += this.#current.counts[bucket] ?? 0;
      below += this.#previous.counts[bucket] ?? 0;
      if (below >= rank) return bucketMidpoint(bucket);
    }
    return bucketMidpoint(BUCKET_COUNT - 1);
  }

  #rotateWindows(now: number): void {
    const elapsed = now - this.#startedAt;
    if (elapsed < this.#windowMilliseconds) return;
    const isRecent = elapsed < 2 * this.#windowMilliseconds;
    this.#previous = isRecent ? this.#current : createWindow();
    this.#current = createWindow();
    this.#startedAt = now - elapsed % this.#windowMilliseconds;
  }
}

function createWindow(): Window {
  return {
    counts: new Uint32Array(BUCKET_COUNT),
    count: 0,
    minimum: Number.POSITIVE_INFINITY,
  };
}

function bucketOf(milliseconds: number): number {
  if (milliseconds <= SMALLEST_BUCKET_MILLISECONDS) return 0;
  const bucket = Math.log(milliseconds / SMALLEST_BUCKET_MILLISECONDS) /
    LOG_BUCKET_GROWTH_FACTOR;
  return Math.min(BUCKET_COUNT - 1, Math.floor(bucket));
}

function bucketMidpoint(bucket: number): number {
  return SMALLEST_BUCKET_MILLISECONDS * BUCKET_GROWTH_FACTOR ** (bucket + 0.5);
}
