const DEFAULT_STEP_MILLISECONDS = 50;

/** What was charged for a call when it left the queue. */
export interface CallChargeOptions {
  /** `DequeuedItem.chargedCost`, runner-milliseconds. */
  readonly chargedCost: number;
  /** When the call was sent, monotonic milliseconds. */
  readonly startedAt: number;
  /** The least difference worth charging, default 50 runner-milliseconds. */
  readonly stepMilliseconds?: number;
}

/**
 * Follows what one attempt costs, so that its account is charged what it
 * really cost, as its tokens come and not only at its end. An account whose
 * long generations were estimated short would otherwise pass for a small one
 * for as long as they run; one would see the others' queue times grow while
 * its own charged cost stays low.
 *
 * Each attempt (a retry, a hedge, a re-run) has its own.
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

  /** Call at each chunk; returns the difference for `FairQueue.charge`. */
  progress(now: number): number {
    const difference = now - this.#startedAt - this.#charged;
    if (difference < this.#stepMilliseconds) return 0;
    this.#charged += difference;
    return difference;
  }

  /** Runner-milliseconds charged up to now; the whole cost once finished. */
  get cost(): number {
    return this.#charged;
  }

  /**
   * Call at the end, also of a cancelled or failed attempt, whose cost is the
   * time it held its slot. What an endpoint states is taken up to that time.
   * Returns the last difference to charge.
   */
  finish(
    now: number,
    options: { readonly runnerMilliseconds?: number } = {},
  ): number {
    const held = Math.max(0, now - this.#startedAt);
    const stated = options.runnerMilliseconds ?? held;
    const cost = stated >= 0 && stated < held ? stated : held;
    const difference = cost - this.#charged;
    this.#charged = cost;
    return difference;
  }
}
