import { TimeHistogram } from "kelpspar-decisions/admission";

const SAMPLE_INTERVAL = 8;
const MIN_SAMPLES = 50;

/**
 * Estimates the time between the records of each service's streams, to
 * distinguish a silent connection from a slow one. Samples every eighth gap,
 * because a daemon receives thousands of records a second.
 */
export class RecordGapEstimator {
  readonly #histograms = new Map<string, TimeHistogram>();
  #skipped = 0;

  observe(
    serviceId: string,
    gap: { readonly milliseconds: number; readonly now: number },
  ): void {
    if (++this.#skipped < SAMPLE_INTERVAL) return;
    this.#skipped = 0;
    let histogram = this.#histograms.get(serviceId);
    if (histogram === undefined) {
      histogram = new TimeHistogram();
      this.#histograms.set(serviceId, histogram);
    }
    histogram.observe(gap.milliseconds, gap.now);
  }

  /** The p99 gap of a service, milliseconds; undefined with too few samples. */
  p99(serviceId: string, now: number): number | undefined {
    const times = this.#histograms.get(serviceId)?.times(now);
    if (times === undefined || times.samples < MIN_SAMPLES) return undefined;
    return times.p99;
  }
}
