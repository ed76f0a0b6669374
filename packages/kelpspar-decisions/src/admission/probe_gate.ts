const DEFAULT_RUNS = 100;
const DEFAULT_SHORTEST_MILLISECONDS = 1_000;
const DEFAULT_LONGEST_MILLISECONDS = 30_000;

/** How often a request is let through against the estimate. */
export interface ProbeGateOptions {
  /** Requests that run for each probe; default 100. */
  readonly runs?: number;
  /** The least time between two probes; default 1,000 milliseconds. */
  readonly shortestMilliseconds?: number;
  /** A probe goes after this time if few run; default 30,000 milliseconds. */
  readonly longestMilliseconds?: number;
}

/**
 * Lets a refused request through now and then. Were all refused, nothing would
 * run, nothing new would be observed, and an estimate that one slow minute
 * made wrong would go on refusing; one would see a pipeline that answers
 * nothing while its endpoints are idle. Most probes fail when the estimate is
 * right, so they are one in a hundred of what runs.
 */
export class ProbeGate {
  readonly #runs: number;
  readonly #shortest: number;
  readonly #longest: number;
  #ran = 0;
  #lastAt: number | undefined;

  constructor(options: ProbeGateOptions = {}) {
    this.#runs = options.runs ?? DEFAULT_RUNS;
    this.#shortest = options.shortestMilliseconds ??
      DEFAULT_SHORTEST_MILLISECONDS;
    this.#longest = options.longestMilliseconds ?? DEFAULT_LONGEST_MILLISECONDS;
  }

  /** Counts a request that is run by the estimate. */
  recordRun(): void {
    this.#ran++;
  }

  /** Called for a refusal; true when it is to be let through as a probe. */
  tryPass(now: number): boolean {
    this.#lastAt ??= now;
    const waited = now - this.#lastAt;
    const isDue = this.#ran >= this.#runs && waited >= this.#shortest;
    if (!isDue && waited < this.#longest) return false;
    this.#ran = 0;
    this.#lastAt = now;
    return true;
  }
}
