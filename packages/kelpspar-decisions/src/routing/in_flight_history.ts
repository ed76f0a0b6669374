const SLOTS = 32;
const SLOT_MILLISECONDS = 100;

/** This daemon's calls at one endpoint at some moment. */
export interface InFlightMoment {
  readonly inFlight: number;
  /** Calls sent since the endpoint's generation began. */
  readonly sent: number;
}

const NOTHING: InFlightMoment = { inFlight: 0, sent: 0 };

/**
 * What this daemon had in flight at one endpoint over the last 3.2 s, in steps
 * of 100 ms: a lagging report must be compared with that, not with the present.
 */
export class InFlightHistory {
  readonly #slots = new Float64Array(SLOTS).fill(Number.NEGATIVE_INFINITY);
  readonly #inFlight = new Int32Array(SLOTS);
  readonly #sent = new Float64Array(SLOTS);

  /** Notes the counts that hold from `at`, monotonic milliseconds. */
  record(at: number, moment: InFlightMoment): void {
    const slot = Math.floor(at / SLOT_MILLISECONDS);
    const index = slot % SLOTS;
    this.#slots[index] = slot;
    this.#inFlight[index] = moment.inFlight;
    this.#sent[index] = moment.sent;
  }

  /** The counts at `at`, as far back as the history reaches. */
  momentAt(at: number): InFlightMoment {
    const wanted = Math.floor(at / SLOT_MILLISECONDS);
    let found = -1;
    let newest = Number.NEGATIVE_INFINITY;
    for (let index = 0; index < SLOTS; index++) {
      const slot = this.#slots[index] ?? Number.NEGATIVE_INFINITY;
      if (slot > wanted || slot <= newest) continue;
      newest = slot;
      found = index;
    }
    if (found < 0) return NOTHING;
    return {
      inFlight: this.#inFlight[found] ?? 0,
      sent: this.#sent[found] ?? 0,
    };
  }
}
