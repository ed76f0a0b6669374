const ASSUMED_MILLISECONDS = 1_000;
const ENDS_TO_TRUST = 5;
const KEPT_PER_END = 0.995;

/**
 * The mean time that calls spend in flight at a service, by Little's law: calls
 * in flight over time, divided by calls that ended. It needs no record a call.
 */
export class CallTimeAverage {
  #inFlight = 0;
  #area = 0;
  #ends = 0;
  #lastAt = 0;

  callStarted(at: number): void {
    this.#advance(at);
    this.#inFlight++;
  }

  /** Stops counting a call whose end will not be told. */
  abandon(at: number): void {
    this.#advance(at);
    this.#inFlight = Math.max(0, this.#inFlight - 1);
  }

  callEnded(at: number): void {
    this.abandon(at);
    this.#area *= KEPT_PER_END;
    this.#ends = this.#ends * KEPT_PER_END + 1;
  }

  /** Milliseconds, at least 1; assumed to be 1,000 before anything ended. */
  get milliseconds(): number {
    if (this.#ends < ENDS_TO_TRUST) return ASSUMED_MILLISECONDS;
    return Math.max(1, this.#area / this.#ends);
  }

  #advance(at: number): void {
    this.#area += this.#inFlight * Math.max(0, at - this.#lastAt);
    this.#lastAt = at;
  }
}
