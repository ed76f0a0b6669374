const SLOT_COUNT = 32;
const SLOT_MILLISECONDS = 100;

/** This daemon's calls at one endpoint at one point in time. */
export interface InFlightSample {
  readonly inFlight: number;
  /** Calls sent since the endpoint's generation started. */
  readonly sent: number;
}

const NO_CALLS: InFlightSample = { inFlight: 0, sent: 0 };

/**
 * This daemon's calls in flight at one endpoint over the last 3.2 s, in steps
 * of 100 ms. A delayed report must be compared with the calls at the time of
 * the report rather than with the current ones.
 */
export class InFlightHistory {
  readonly #slots = new Float64Array(SLOT_COUNT).fill(Number.NEGATIVE_INFINITY);
  readonly #inFlight = new Int32Array(SLOT_COUNT);
  readonly #sent = new Float64Array(SLOT_COUNT);

  /** Records the counts from `at` on, monotonic milliseconds. */
  record(at: number, sample: InFlightSample): void {
    const slot = Math.floor(at / SLOT_MILLISECONDS);
    const index = slot % SLOT_COUNT;
    this.#slots[index] = slot;
    this.#inFlight[index] = sample.inFlight;
    this.#sent[index] = sample.sent;
  }

  /** Returns the counts at `at`, within the length of the history. */
  sampleAt(at: number): InFlightSample {
    const wanted = Math.floor(at / SLOT_MILLISECONDS);
    let found = -1;
    let newest = Number.NEGATIVE_INFINITY;
    for (let index = 0; index < SLOT_COUNT; index++) {
      const slot = this.#slots[index] ?? Number.NEGATIVE_INFINITY;
      if (slot > wanted || slot <= newest) continue;
      newest = slot;
      found = index;
    }
    if (found < 0) return NO_CALLS;
    return {
      inFlight: this.#inFlight[found] ?? 0,
      sent: this.#sent[found] ?? 0,
    };
  }
}
