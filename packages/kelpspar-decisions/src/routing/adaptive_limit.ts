import type { CallOutcome } from "./call_outcome.ts";
import { LatencyBaseline } from "./latency_baseline.ts";

const DEFAULT_FLOOR = 1;
const DEFAULT_TOLERANCE = 1.5;
const SHRINK_ON_LATENCY = 0.85;
const SHRINK_ON_OVERLOAD = 0.75;
const SHARE_OF_LIMIT_IN_USE = 0.9;
const BASELINES_KEPT = 64;

/** The bounds of a limit and how sensitive it is. */
export interface AdaptiveLimitOptions {
  /** This daemon's slice of the endpoint's concurrency. */
  readonly slice: number;
  /** The limit never falls below it, so that it can grow again; default 1. */
  readonly floor?: number;
  /** Latency over its own baseline that shrinks the limit; default 1.5. */
  readonly tolerance?: number;
}

/** A call that ended, as the limit sees it. */
export interface LimitSample {
  /** Monotonic milliseconds. */
  readonly at: number;
  readonly latencyMilliseconds: number;
  readonly outcome: CallOutcome;
  /** Own calls in flight while it ran, itself included. */
  readonly inFlight: number;
  /** True when the endpoint's last report shows calls waiting. */
  readonly isQueueing: boolean;
  /** Latencies are compared within one model. */
  readonly model: string;
}

/**
 * How many calls this daemon may have in flight at one endpoint. It shrinks by
 * a factor when the endpoint says it is full, or when latency grows past the
 * endpoint's own baseline, and grows by the square root of the limit in a round
 * of successes at the limit.
 *
 * What goes wrong with latency alone: callers begin to send longer inputs,
 * every endpoint gets slower, and every limit shrinks though nothing waits. It
 * shows as calls held back before idle endpoints. So latency shrinks a limit
 * only while the endpoint reports a queue.
 *
 * One shrinking a round: a sample counts only when its call began after the
 * last one, since earlier calls tell of the old limit.
 */
export class AdaptiveLimit {
  readonly #floor: number;
  readonly #tolerance: number;
  readonly #baselines = new Map<string, LatencyBaseline>();
  #slice: number;
  #limit: number;
  #shrunkAt = Number.NEGATIVE_INFINITY;

  constructor(options: AdaptiveLimitOptions) {
    this.#floor = options.floor ?? DEFAULT_FLOOR;
    this.#tolerance = options.tolerance ?? DEFAULT_TOLERANCE;
    this.#slice = Math.max(this.#floor, options.slice);
    this.#limit = this.#slice;
  }

  /** Calls allowed in flight, a whole number. */
  get limit(): number {
    return Math.floor(this.#limit);
  }

  /** Sets the daemon's slice. A limit that stood at the old one follows it. */
  setSlice(slice: number): void {
    const stoodAtSlice = this.#limit >= this.#slice;
    this.#slice = Math.max(this.#floor, slice);
    this.#limit = stoodAtSlice
      ? this.#slice
      : Math.min(this.#limit, this.#slice);
  }

  callEnded(sample: LimitSample): void {
    if (sample.outcome === "overloaded") this.#overloaded(sample);
    if (sample.outcome === "success") this.#succeeded(sample);
  }

  #overloaded(sample: LimitSample): void {
    const reached = Math.min(this.#limit, sample.inFlight);
    this.#shrinkTo(reached * SHRINK_ON_OVERLOAD, sample);
  }

  #succeeded(sample: LimitSample): void {
    const baseline = this.#baselineOf(sample.model);
    baseline.add(sample);
    if (sample.isQueueing && baseline.growth > this.#toleratedGrowth()) {
      this.#shrinkTo(this.#limit * SHRINK_ON_LATENCY, sample);
      return;
    }
    if (sample.inFlight < this.limit * SHARE_OF_LIMIT_IN_USE) return;
    const grown = this.#limit + 1 / Math.sqrt(this.#limit);
    this.#limit = Math.min(this.#slice, grown);
  }

  /**
   * What goes wrong with one threshold for all: daemons whose baselines differ
   * a little end at the floor and at the slice, and stay there. The smaller a
   * limit, the more growth it stands, so that equal daemons meet in the middle.
   */
  #toleratedGrowth(): number {
    return this.#tolerance * Math.sqrt(this.#slice / this.#limit);
  }

  #shrinkTo(limit: number, sample: LimitSample): void {
    if (sample.at - sample.latencyMilliseconds < this.#shrunkAt) return;
    this.#shrunkAt = sample.at;
    this.#limit = Math.max(this.#floor, limit);
  }

  #baselineOf(model: string): LatencyBaseline {
    const known = this.#baselines.get(model);
    if (known !== undefined) return known;
    if (this.#baselines.size >= BASELINES_KEPT) this.#baselines.clear();
    const baseline = new LatencyBaseline();
    this.#baselines.set(model, baseline);
    return baseline;
  }
}
