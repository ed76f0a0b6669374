import type { StageTimes } from "./stage_times.ts";

const DEFAULT_WINDOW_MILLISECONDS = 30_000;
const LEAST_MILLISECONDS = 0.1;
const GROWTH = 1.08;
const BUCKETS = 230;
const LOG_GROWTH = Math.log(GROWTH);
const REFRESH_MILLISECONDS = 100;

interface Window {
  readonly counts: Uint32Array;
  count: number;
  minimum: number;
}

/**
 * Times of the last one to two windows, in buckets that grow by 8%, so that a
 * quantile is wrong by at most 4%. After two windows without a new time
 * nothing is known any more: a bad minute does not stay for ever.
 */
export class TimeHistogram {
  readonly #windowMilliseconds: number;
  #current = createWindow();
  #previous = createWindow();
  #startedAt = 0;
  #times: StageTimes | undefined;
  #timesAt = Number.NEGATIVE_INFINITY;

  constructor(options: { readonly windowMilliseconds?: number } = {}) {
    this.#windowMilliseconds = options.windowMilliseconds ??
      DEFAULT_WINDOW_MILLISECONDS;
  }

  observe(milliseconds: number, now: number): void {
    if (!(milliseconds >= 0)) return;
    this.#moveTo(now);
    const bucket = bucketOf(milliseconds);
    this.#current.counts[bucket] = (this.#current.counts[bucket] ?? 0) + 1;
    this.#current.count++;
    this.#current.minimum = Math.min(this.#current.minimum, milliseconds);
  }

  /** What is known, at most 100 ms old; undefined when nothing is. */
  times(now: number): StageTimes | undefined {
    if (now - this.#timesAt < REFRESH_MILLISECONDS) return this.#times;
    this.#moveTo(now);
    this.#timesAt = now;
    this.#times = this.#summarize();
    return this.#times;
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
    for (let bucket = 0; bucket < BUCKETS; bucket++) {
      below += this.#current.counts[bucket] ?? 0;
      below += this.#previous.counts[bucket] ?? 0;
      if (below >= rank) return middleOf(bucket);
    }
    return middleOf(BUCKETS - 1);
  }

  #moveTo(now: number): void {
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
    counts: new Uint32Array(BUCKETS),
    count: 0,
    minimum: Number.POSITIVE_INFINITY,
  };
}

function bucketOf(milliseconds: number): number {
  if (milliseconds <= LEAST_MILLISECONDS) return 0;
  const bucket = Math.log(milliseconds / LEAST_MILLISECONDS) / LOG_GROWTH;
  return Math.min(BUCKETS - 1, Math.floor(bucket));
}

function middleOf(bucket: number): number {
  return LEAST_MILLISECONDS * GROWTH ** (bucket + 0.5);
}
