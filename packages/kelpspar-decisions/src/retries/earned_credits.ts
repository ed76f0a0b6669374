/** How long credits beyond the capacity are kept at most. */
const BURST_MILLISECONDS = 50;
/** Absorbs rounding of sums of ratios. */
const EPSILON = 1e-9;

/**
 * Retries earned by requests: a token bucket that starts empty and is filled by
 * requests only. In any interval a bucket spends at most its credits at the
 * interval's start and what requests earn within it. A process that starts
 * anew therefore can't spend again what its predecessor has spent.
 */
export class EarnedCredits {
  #credits = 0;
  #capacity = 0;
  /** Credits beyond the capacity are lost then. */
  #burstEndsAt = Number.NEGATIVE_INFINITY;

  /**
   * Adds what requests earn. Credits beyond `capacity` are kept shortly, since
   * requests come in bursts: a call carries many pieces.
   */
  earn(
    credits: number,
    { capacity, now }: { readonly capacity: number; readonly now: number },
  ): void {
    this.#endBurst(now);
    this.#credits += credits;
    this.#capacity = capacity;
  }

  /** Whole retries that may be spent now. */
  available(now: number): number {
    this.#endBurst(now);
    // With a lower capacity, bursts would be all that is ever spent.
    return this.#capacity < 1 ? 0 : Math.floor(this.#credits + EPSILON);
  }

  /** Spends up to `count` retries; returns how many. */
  take(count: number, now: number): number {
    const taken = Math.min(count, this.available(now));
    this.#credits = Math.max(0, this.#credits - taken);
    return taken;
  }

  /** Returns credits that were taken and not used. */
  giveBack(count: number, now: number): void {
    this.#endBurst(now);
    this.#credits += count;
  }

  #endBurst(now: number): void {
    if (now < this.#burstEndsAt) return;
    this.#burstEndsAt = now + BURST_MILLISECONDS;
    this.#credits = Math.min(this.#capacity, this.#credits);
  }
}
