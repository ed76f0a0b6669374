const RECENT_SAMPLE_WEIGHT = 0.1;
const ADAPT_MILLISECONDS = 30_000;
const QUEUEING_ADAPT_MILLISECONDS = 300_000;
const WARM_UP_SAMPLES = 10;

/** A latency and whether the endpoint had a queue at that time. */
export interface BaselineSample {
  /** Monotonic milliseconds. */
  readonly at: number;
  readonly latencyMilliseconds: number;
  readonly isQueueing: boolean;
}

/**
 * Estimate of an endpoint's latency without a queue. It adapts to measured
 * latencies over 30 s, but increases only over 5 minutes while calls are
 * queued; otherwise queueing delay, which reports show late, would be mistaken
 * for the endpoint's base latency. It does increase then, because an endpoint
 * that has become permanently slower would otherwise stay limited.
 */
export class LatencyBaseline {
  #samples = 0;
  #recent = 0;
  #baseline = 0;
  #lastAt = 0;

  /** Ratio of recent latency to the baseline; 1 during warm-up. */
  get growth(): number {
    if (this.#samples <= WARM_UP_SAMPLES) return 1;
    return this.#recent / Math.max(1, this.#baseline);
  }

  add(sample: BaselineSample): void {
    const { at, latencyMilliseconds } = sample;
    const elapsed = this.#samples === 0 ? 0 : Math.max(0, at - this.#lastAt);
    this.#samples++;
    this.#lastAt = at;
    const isAveraging = !sample.isQueueing || this.#samples <= WARM_UP_SAMPLES;
    const warmUp = isAveraging ? 1 / this.#samples : 0;
    this.#recent += Math.max(RECENT_SAMPLE_WEIGHT, warmUp) *
      (latencyMilliseconds - this.#recent);
    const adaptsSlowly = sample.isQueueing && this.#recent > this.#baseline;
    const adaptMilliseconds = adaptsSlowly
      ? QUEUEING_ADAPT_MILLISECONDS
      : ADAPT_MILLISECONDS;
    const weight = Math.min(1, elapsed / adaptMilliseconds);
    this.#baseline += Math.max(weight, warmUp) *
      (this.#recent - this.#baseline);
  }
}
