const DEFAULT_STEP_MILLISECONDS = 50;

/** Options of `CallCharge`. */
export interface CallChargeOptions {
  /**
   * `DequeuedItem.chargedCost`, the cost charged at dequeue,
   * runner-milliseconds.
   */
  readonly chargedCost: number;
  /** When the call was sent, monotonic milliseconds. */
  readonly startedAt: number;
  /** Minimum difference to charge; default 50 runner-milliseconds. */
  readonly stepMilliseconds?: number;
}

/**
 * Tracks the cost of one attempt, so that its account is charged the actual
 * cost while tokens arrive and not only at the end. Otherwise an account whose
 * long generations were underestimated would be treated as a light one while
 * they run; the symptom is rising queue times of other accounts while its own
 * charged cost stays low.
 *
 * Each attempt (a retry, a hedge, a re-run) has its own instance.
 *
 * Source: the virtual token counter (Sheng et al., 2024).
 */
export class CallCharge {
  readonly #startedAt: number;
  readonly #stepMilliseconds: number;
  #charged: number;

  constructor(options: CallChargeOptions) {
    this.#charged = options.chargedCost;
    this.#startedAt = options.startedAt;
    this.#stepMilliseconds = options.stepMilliseconds ??
      DEFAULT_STEP_MILLISECONDS;
  }

  /** Call for each chunk; returns the difference for `FairQueue.charge`. */
  progress(now: number): number {
    const difference = now - this.#startedAt - this.#charged;
    if (difference < this.#stepMilliseconds) return 0;
    this.#charged += difference;
    return difference;
  }

  /** Runner-milliseconds charged so far; the total cost once finished. */
  get cost(): number {
    return this.#charged;
  }

  /**
   * Call at the end of an attempt, also if it was cancelled or failed; its cost
   * is then the time it held its slot. The cost reported by an endpoint is
   * accepted up to that time. Returns the final difference to charge.
   */
  finish(
    now: number,
    options: { readonly runnerMilliseconds?: number } = {},
  ): number {
    const heldMilliseconds = Math.max(0, now - this.#startedAt);
    const reported = options.runnerMilliseconds ?? heldMilliseconds;
    const cost = reported >= 0 && reported < heldMilliseconds
      ? reported
      : heldMilliseconds;
    const difference = cost - this.#charged;
    this.#charged = cost;
    return difference;
  }
}
