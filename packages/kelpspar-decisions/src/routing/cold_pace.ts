import type { RandomSource } from "kelpspar-shared";

/** For whom a pace is asked. */
export interface ColdPaceRequest {
  /** What the endpoint bears while it is cold, requests a second. */
  readonly perSecond: number;
  /** Senders that keep to the same limit together, this one among them. */
  readonly sharers: number;
  /** Monotonic milliseconds. */
  readonly now: number;
}

interface Pace {
  /** Where in the first interval the first request is sent, 0 to 1. */
  readonly phase: number;
  readonly startedAt: number;
  lastAt: number | undefined;
  askedAt: number;
}

/** An endpoint that wasn't asked for so long is paced anew, milliseconds. */
const FORGOTTEN_AFTER_MILLISECONDS = 10_000;
const MILLISECONDS_PER_SECOND = 1_000;
/**
 * Of an equal share, the part that is used where there are several senders:
 * each may know of fewer than there are.
 */
const USED_SHARE = 0.75;

/**
 * Paces requests to cold endpoints. Load: a zone of endpoints comes back cold
 * under full traffic; each of them crashes if it gets far more than it bears,
 * from all senders together.
 *
 * Each sender has an equal share and needs no word from the others. Its first
 * request comes at a random moment of its first interval: if all sent their
 * first at once, the endpoint would get one of each sender in a moment.
 */
export class ColdPace {
  readonly #random: RandomSource;
  readonly #paces = new Map<string, Pace>();

  constructor(random: RandomSource) {
    this.#random = random;
  }

  /** Whether this sender may send a cold endpoint one more request now. */
  maySend(endpointId: string, request: ColdPaceRequest): boolean {
    const { perSecond, sharers, now } = request;
    const pace = this.#paceOf(endpointId, now);
    pace.askedAt = now;
    const used = sharers > 1 ? USED_SHARE : 1;
    const interval = sharers * MILLISECONDS_PER_SECOND / (perSecond * used);
    const dueAt = pace.lastAt === undefined
      ? pace.startedAt + pace.phase * interval
      : pace.lastAt + interval;
    return now >= dueAt;
  }

  /** Notes that a cold endpoint is sent a request. */
  sent(endpointId: string, now: number): void {
    this.#paceOf(endpointId, now).lastAt = now;
  }

  #paceOf(endpointId: string, now: number): Pace {
    const known = this.#paces.get(endpointId);
    if (
      known !== undefined && now - known.askedAt < FORGOTTEN_AFTER_MILLISECONDS
    ) return known;
    this.#forgetOld(now);
    const pace = {
      phase: this.#random.next(),
      startedAt: now,
      lastAt: undefined,
      askedAt: now,
    };
    this.#paces.set(endpointId, pace);
    return pace;
  }

  #forgetOld(now: number): void {
    for (const [id, { askedAt }] of this.#paces) {
      if (now - askedAt >= FORGOTTEN_AFTER_MILLISECONDS) this.#paces.delete(id);
    }
  }
}
