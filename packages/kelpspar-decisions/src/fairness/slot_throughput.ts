const SMOOTHING = 0.05;
const MINIMUM_MILLISECONDS = 1;

/**
 * Estimates the cost that one slot processes per millisecond. An engine that
 * batches shares each step among its calls: a call that holds its slot for 200
 * ms may cost 50 runner-milliseconds. Without this correction, a slot would be
 * expected to become free after the cost, four times too soon in that example;
 * under overload nearly everything would be admitted and nearly all of it would
 * finish too late.
 */
export class SlotThroughput {
  #costPerMillisecond = 1;

  /** Records a finished call. */
  observe(call: {
    readonly heldMilliseconds: number;
    /** Runner-milliseconds. */
    readonly cost: number;
  }): void {
    if (call.heldMilliseconds < MINIMUM_MILLISECONDS || call.cost <= 0) return;
    const pace = Math.min(1, call.cost / call.heldMilliseconds);
    this.#costPerMillisecond += SMOOTHING * (pace - this.#costPerMillisecond);
  }

  /** Cost that the given number of slots processes per millisecond. */
  effectiveConcurrency(slots: number): number {
    return Math.max(1e-3, slots * this.#costPerMillisecond);
  }
}
