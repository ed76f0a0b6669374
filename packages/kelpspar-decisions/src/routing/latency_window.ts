const MAXIMUM_SAMPLES = 16;
const DEFAULT_MAXIMUM_AGE_MILLISECONDS = 30_000;

/** The most recent latencies of one endpoint and model, with their median. */
export class LatencyWindow {
  readonly #ageMilliseconds: number;
  readonly #latencies = new Float64Array(MAXIMUM_SAMPLES);
  readonly #times = new Float64Array(MAXIMUM_SAMPLES).fill(
    Number.NEGATIVE_INFINITY,
  );
  #next = 0;

  constructor(options: { readonly ageMilliseconds?: number } = {}) {
    this.#ageMilliseconds = options.ageMilliseconds ??
      DEFAULT_MAXIMUM_AGE_MILLISECONDS;
  }

  /** Adds a latency in milliseconds, measured at `at`. */
  add(latencyMilliseconds: number, at: number): void {
    this.#latencies[this.#next] = latencyMilliseconds;
    this.#times[this.#next] = at;
    this.#next = (this.#next + 1) % MAXIMUM_SAMPLES;
  }

  /** The median, milliseconds; undefined with fewer than `minimumSamples`. */
  medianAt(now: number, minimumSamples: number): number | undefined {
    const fresh = this.since(now - this.#ageMilliseconds);
    return fresh.length < minimumSamples ? undefined : medianOf(fresh);
  }

  /** The latencies measured at `time` or later, in no particular order. */
  since(time: number): number[] {
    const latencies: number[] = [];
    for (let index = 0; index < MAXIMUM_SAMPLES; index++) {
      const measuredAt = this.#times[index] ?? Number.NEGATIVE_INFINITY;
      if (measuredAt >= time) latencies.push(this.#latencies[index] ?? 0);
    }
    return latencies;
  }

  /** Time of the `count`th most recent latency. */
  timeOfLatest(count: number): number {
    const index = (this.#next - count + MAXIMUM_SAMPLES) % MAXIMUM_SAMPLES;
    return this.#times[index] ?? Number.NEGATIVE_INFINITY;
  }
}

/** The lower median; undefined for no values. Sorts `values` in place. */
export function medianOf(values: number[]): number | undefined {
  values.sort((left, right) => left - right);
  return values[(values.length - 1) >> 1];
}
