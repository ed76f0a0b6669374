const RECENT_WEIGHT = 0.1;
const FOLLOWS_IN_MILLISECONDS = 30_000;
const FOLLOWS_QUEUE_IN_MILLISECONDS = 300_000;
const SAMPLES_TO_TRUST = 10;

/** A latency and whether calls waited at the endpoint then. */
export interface BaselineSample {
  /** Monotonic milliseconds. */
  readonly at: number;
  readonly latencyMilliseconds: number;
  readonly isQueueing: boolean;
}

/**
 * An endpoint's latency without a queue. It follows what is measured over half
 * a minute, but upwards over minutes while calls wait there: else it would take
 * the queue, which reports show late, for the endpoint's nature. Never upwards
 * would hold an endpoint that became slower for good.
 */
export class LatencyBaseline {
  #samples = 0;
  #recent = 0;
  #baseline = 0;
  #lastAt = 0;

  /** Recent latency over the baseline; 1 before enough samples. */
  get growth(): number {
    if (this.#samples <= SAMPLES_TO_TRUST) return 1;
    return this.#recent / Math.max(1, this.#baseline);
  }

  add(sample: BaselineSample): void {
    const { at, latencyMilliseconds } = sample;
    const elapsed = this.#samples === 0 ? 0 : Math.max(0, at - this.#lastAt);
    this.#samples++;
    this.#lastAt = at;
    const isAveraging = !sample.isQueueing || this.#samples <= SAMPLES_TO_TRUST;
    const warmUp = isAveraging ? 1 / this.#samples : 0;
    this.#recent += Math.max(RECENT_WEIGHT, warmUp) *
      (latencyMilliseconds - this.#recent);
    const followsSlowly = sample.isQueueing && this.#recent > this.#baseline;
    const followsIn = followsSlowly
      ? FOLLOWS_QUEUE_IN_MILLISECONDS
      : FOLLOWS_IN_MILLISECONDS;
    const weight = Math.min(1, elapsed / followsIn);
    this.#baseline += Math.max(weight, warmUp) *
      (this.#recent - this.#baseline);
  }
}
