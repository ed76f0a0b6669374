import { TimeHistogram } from "kelpspar-decisions/admission";

const SAMPLE_EVERY = 8;
const FEWEST_SAMPLES = 50;

/**
 * How far apart the records of each service's streams come, so that a silent
 * connection is told from a slow one. Every eighth gap is taken in, since a
 * daemon sees thousands a second.
 */
export class RecordGaps {
  readonly #histograms = new Map<string, TimeHistogram>();
  #skipped = 0;

  observe(
    serviceId: string,
    gap: { readonly milliseconds: number; readonly now: number },
  ): void {
    if (++this.#skipped < SAMPLE_EVERY) return;
    this.#skipped = 0;
    let histogram = this.#histograms.get(serviceId);
    if (histogram === undefined) {
      histogram = new TimeHistogram();
      this.#histograms.set(serviceId, histogram);
    }
    histogram.observe(gap.milliseconds, gap.now);
  }

  /** The p99 of a service's gaps; undefined while too few were seen. */
  p99(serviceId: string, now: number): number | undefined {
    const times = this.#histograms.get(serviceId)?.times(now);
    if (times === undefined || times.samples < FEWEST_SAMPLES) return undefined;
    return times.p99;
  }
}
