const SAMPLES_KEPT = 16;
const DEFAULT_AGE_MILLISECONDS = 30_000;

/** The latest latencies of one endpoint and model, with their median. */
export class LatencyWindow {
  readonly #ageMilliseconds: number;
  readonly #latencies = new Float64Array(SAMPLES_KEPT);
  readonly #times = new Float64Array(SAMPLES_KEPT).fill(
    Number.NEGATIVE_INFINITY,
  );
  #next = 0;

  constructor(options: { readonly ageMilliseconds?: number } = {}) {
    this.#ageMilliseconds = options.ageMilliseconds ?? DEFAULT_AGE_MILLISECONDS;
  }

  /** Adds a latency in milliseconds, taken at `at`. */
  add(latencyMilliseconds: number, at: number): void {
    this.#latencies[this.#next] = latencyMilliseconds;
    this.#times[this.#next] = at;
    this.#next = (this.#next + 1) % SAMPLES_KEPT;
  }

  /** The median in milliseconds; undefined below `minimumSamples`. */
  medianAt(now: number, minimumSamples: number): number | undefined {
    const fresh = this.since(now - this.#ageMilliseconds);
    return fresh.length < minimumSamples ? undefined : medianOf(fresh);
  }

  /** The latencies taken at `time` or later, in no order. */
  since(time: number): number[] {
    const latencies: number[] = [];
    for (let index = 0; index < SAMPLES_KEPT; index++) {
      const takenAt = this.#times[index] ?? Number.NEGATIVE_INFINITY;
      if (takenAt >= time) latencies.push(this.#latencies[index] ?? 0);
    }
    return latencies;
  }

  /** When the `count`th latest latency was taken. */
  timeOfLatest(count: number): number {
    const index = (this.#next - count + SAMPLES_KEPT) % SAMPLES_KEPT;
    return this.#times[index] ?? Number.NEGATIVE_INFINITY;
  }
}

/** The lower median; undefined of nothing. Sorts `values` in place. */
export function medianOf(values: number[]): number | undefined {
  values.sort((left, right) => left - right);
  return values[(values.length - 1) >> 1];
}
