const DEFAULT_CALL_MILLISECONDS = 1_000;
const MINIMUM_CALLS = 5;
const DECAY_PER_CALL = 0.995;

/**
 * Mean time that calls of a service are in flight, by Little's law: the
 * integral of calls in flight over time, divided by the calls that ended. It
 * needs no state per call.
 */
export class CallTimeAverage {
  #inFlight = 0;
  #inFlightMilliseconds = 0;
  #endedCalls = 0;
  #lastAt = 0;

  callStarted(at: number): void {
    this.#advance(at);
    this.#inFlight++;
  }

  /** Stops counting a call whose end won't be reported. */
  abandon(at: number): void {
    this.#advance(at);
    this.#inFlight = Math.max(0, this.#inFlight - 1);
  }

  callEnded(at: number): void {
    this.abandon(at);
    this.#inFlightMilliseconds *= DECAY_PER_CALL;
    this.#endedCalls = this.#endedCalls * DECAY_PER_CALL + 1;
  }

  /** Milliseconds, at least 1; 1,000 until enough calls have ended. */
  get milliseconds(): number {
    if (this.#endedCalls < MINIMUM_CALLS) return DEFAULT_CALL_MILLISECONDS;
    return Math.max(1, this.#inFlightMilliseconds / this.#endedCalls);
  }

  #advance(at: number): void {
    this.#inFlightMilliseconds += this.#inFlight *
      Math.max(0, at - this.#lastAt);
    this.#lastAt = at;
  }
}
