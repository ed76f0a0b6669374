/** Weight of the newest sample in the moving average. */
const SMOOTHING_FACTOR = 0.1;
/** Estimate before the first sample: the time of a short call. */
const INITIAL_ESTIMATE_MILLISECONDS = 60;
/**
 * The same for streams: a model's first step after a prompt of some thousand
 * tokens.
 */
const INITIAL_STREAM_ESTIMATE_MILLISECONDS = 300;

/** Moving averages of the time to first byte by route, in milliseconds. */
export class FirstByteEstimates {
  readonly #means = new Map<string, number>();

  /** Expected milliseconds until the first byte of the answer. */
  estimate(route: string, isStream: boolean): number {
    return this.#means.get(route) ??
      (isStream
        ? INITIAL_STREAM_ESTIMATE_MILLISECONDS
        : INITIAL_ESTIMATE_MILLISECONDS);
  }

  record(route: string, milliseconds: number, isStream: boolean): void {
    const mean = this.estimate(route, isStream);
    this.#means.set(route, mean + SMOOTHING_FACTOR * (milliseconds - mean));
  }
}
