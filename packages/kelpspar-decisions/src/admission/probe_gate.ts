const DEFAULT_RUNS_PER_PROBE = 100;
const DEFAULT_MINIMUM_INTERVAL_MILLISECONDS = 1_000;
const DEFAULT_MAXIMUM_INTERVAL_MILLISECONDS = 30_000;

/** How often a request is admitted against the estimate. */
export interface ProbeGateOptions {
  /** Admitted requests per probe; default 100. */
  readonly runs?: number;
  /** Minimum interval between two probes; default 1,000 milliseconds. */
  readonly minimumIntervalMilliseconds?: number;
  /**
   * A probe is allowed after this interval even if few requests run; default
   * 30,000 milliseconds.
   */
  readonly maximumIntervalMilliseconds?: number;
}

/**
 * Admits an occasional refused request as a probe.
 *
 * If every request were refused, none would run, no new times would be
 * observed, and an estimate distorted by one slow minute would keep refusing.
 * The symptom is a pipeline that answers nothing while its endpoints are idle.
 * Most probes fail if the estimate is right, so they are limited to one per
 * hundred admitted requests.
 */
export class ProbeGate {
  readonly #runsPerProbe: number;
  readonly #minimumIntervalMilliseconds: number;
  readonly #maximumIntervalMilliseconds: number;
  #runsSinceProbe = 0;
  #lastProbeAt: number | undefined;

  constructor(options: ProbeGateOptions = {}) {
    this.#runsPerProbe = options.runs ?? DEFAULT_RUNS_PER_PROBE;
    this.#minimumIntervalMilliseconds = options.minimumIntervalMilliseconds ??
      DEFAULT_MINIMUM_INTERVAL_MILLISECONDS;
    this.#maximumIntervalMilliseconds = options.maximumIntervalMilliseconds ??
      DEFAULT_MAXIMUM_INTERVAL_MILLISECONDS;
  }

  /** Counts a request that the estimate admitted. */
  recordRun(): void {
    this.#runsSinceProbe++;
  }

  /** Call for a refused request; returns true if it is admitted as a probe. */
  tryProbe(now: number): boolean {
    this.#lastProbeAt ??= now;
    const waited = now - this.#lastProbeAt;
    const isDue = this.#runsSinceProbe >= this.#runsPerProbe &&
      waited >= this.#minimumIntervalMilliseconds;
    if (!isDue && waited < this.#maximumIntervalMilliseconds) return false;
    this.#runsSinceProbe = 0;
    this.#lastProbeAt = now;
    return true;
  }
}
