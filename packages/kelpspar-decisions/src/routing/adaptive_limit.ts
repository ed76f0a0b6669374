import type { CallOutcome } from "./call_outcome.ts";
import { LatencyBaseline } from "./latency_baseline.ts";

const DEFAULT_FLOOR = 1;
const DEFAULT_TOLERANCE = 1.5;
const LATENCY_DECREASE_FACTOR = 0.85;
const OVERLOAD_DECREASE_FACTOR = 0.75;
const MINIMUM_UTILIZATION_TO_GROW = 0.9;
const MAXIMUM_BASELINES = 64;

/** Bounds and sensitivity of a limit. */
export interface AdaptiveLimitOptions {
  /** This daemon's slice of the endpoint's concurrency. */
  readonly slice: number;
  /** Minimum of the limit, from which it can grow again; default 1. */
  readonly floor?: number;
  /** Ratio of latency to baseline that decreases the limit; default 1.5. */
  readonly tolerance?: number;
}

/** A call that ended, as input of the limit. */
export interface LimitSample {
  /** Monotonic milliseconds. */
  readonly at: number;
  readonly latencyMilliseconds: number;
  readonly outcome: CallOutcome;
  /** This daemon's calls in flight while it ran, including itself. */
  readonly inFlight: number;
  /** True when the endpoint's last load report shows queued calls. */
  readonly isQueueing: boolean;
  /** Latencies are compared per model. */
  readonly model: string;
}

/**
 * Limits the calls that this daemon may have in flight at one endpoint. The
 * limit decreases by a factor when the endpoint reports overload, or when
 * latency exceeds the endpoint's own baseline, and increases by the square root
 * of the limit per round trip of successes at the limit.
 *
 * With latency alone as the signal, longer inputs from callers would slow down
 * every endpoint and decrease every limit although nothing is queued; the
 * symptom is calls held back from idle endpoints. Latency therefore decreases a
 * limit only while the endpoint reports a queue.
 *
 * The limit decreases once per round trip: a sample counts only if its call
 * started after the last decrease, because earlier calls reflect the old limit.
 */
export class AdaptiveLimit {
  readonly #floor: number;
  readonly #tolerance: number;
  readonly #baselines = new Map<string, LatencyBaseline>();
  #slice: number;
  #limit: number;
  #lastDecreaseAt = Number.NEGATIVE_INFINITY;

  constructor(options: AdaptiveLimitOptions) {
    this.#floor = options.floor ?? DEFAULT_FLOOR;
    this.#tolerance = options.tolerance ?? DEFAULT_TOLERANCE;
    this.#slice = Math.max(this.#floor, options.slice);
    this.#limit = this.#slice;
  }

  /** Calls allowed in flight, an integer. */
  get limit(): number {
    return Math.floor(this.#limit);
  }

  /** Sets the daemon's slice. A limit equal to the old slice follows it. */
  setSlice(slice: number): void {
    const wasAtSlice = this.#limit >= this.#slice;
    this.#slice = Math.max(this.#floor, slice);
    this.#limit = wasAtSlice ? this.#slice : Math.min(this.#limit, this.#slice);
  }

  callEnded(sample: LimitSample): void {
    if (sample.outcome === "overloaded") this.#handleOverload(sample);
    if (sample.outcome === "success") this.#handleSuccess(sample);
  }

  #handleOverload(sample: LimitSample): void {
    const reached = Math.min(this.#limit, sample.inFlight);
    this.#decreaseTo(reached * OVERLOAD_DECREASE_FACTOR, sample);
  }

  #handleSuccess(sample: LimitSample): void {
    const baseline = this.#getOrCreateBaseline(sample.model);
    baseline.add(sample);
    if (sample.isQueueing && baseline.growth > this.#toleratedGrowth()) {
      this.#decreaseTo(this.#limit * LATENCY_DECREASE_FACTOR, sample);
      return;
    }
    if (sample.inFlight < this.limit * MINIMUM_UTILIZATION_TO_GROW) return;
    const grown = this.#limit + 1 / Math.sqrt(this.#limit);
    this.#limit = Math.min(this.#slice, grown);
  }

  /**
   * With a fixed threshold, daemons whose baselines differ slightly would end
   * up at the floor and at the slice, and stay there. Smaller limits tolerate
   * more latency growth, so that equal daemons converge.
   */
  #toleratedGrowth(): number {
    return this.#tolerance * Math.sqrt(this.#slice / this.#limit);
  }

  #decreaseTo(limit: number, sample: LimitSample): void {
    if (sample.at - sample.latencyMilliseconds < this.#lastDecreaseAt) return;
    this.#lastDecreaseAt = sample.at;
    this.#limit = Math.max(this.#floor, limit);
  }

  #getOrCreateBaseline(model: string): LatencyBaseline {
    const existing = this.#baselines.get(model);
    if (existing !== undefined) return existing;
    if (this.#baselines.size >= MAXIMUM_BASELINES) this.#baselines.clear();
    const baseline = new LatencyBaseline();
    this.#baselines.set(model, baseline);
    return baseline;
  }
}
