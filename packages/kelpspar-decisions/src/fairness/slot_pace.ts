const SMOOTHING = 0.05;
const SHORTEST_MILLISECONDS = 1;

/**
 * How much cost one slot works off in a millisecond. An engine that batches
 * shares each step among its calls: a call that holds its slot for 200 ms may
 * cost 50 runner-milliseconds. What goes wrong without it: waits are worked out
 * as if a slot were free after the cost, four times too soon, and under
 * overload nearly everything is admitted and nearly all of it comes too late.
 */
export class SlotPace {
  #costPerMillisecond = 1;

  /** Takes in a call that ended. */
  observe(call: {
    readonly heldMilliseconds: number;
    /** Runner-milliseconds. */
    readonly cost: number;
  }): void {
    if (call.heldMilliseconds < SHORTEST_MILLISECONDS || call.cost <= 0) return;
    const pace = Math.min(1, call.cost / call.heldMilliseconds);
    this.#costPerMillisecond += SMOOTHING * (pace - this.#costPerMillisecond);
  }

  /** Cost that so many slots work off in a millisecond. */
  concurrencyOf(slots: number): number {
    return Math.max(1e-3, slots * this.#costPerMillisecond);
  }
}
