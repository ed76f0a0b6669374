import type { RandomSource } from "kelpspar-shared";

/** For whom a pace is asked. */
export interface PaceRequest {
  /** What all senders together may send the endpoint, requests a second. */
  readonly perSecond: number;
  /** Senders that keep to the same limit together, this one among them. */
  readonly sharers: number;
  /** Monotonic milliseconds. */
  readonly now: number;
}

interface Pace {
  /** Where in the first interval this sender's first turn begins, 0 to 1. */
  phase: number;
  startedAt: number;
  interval: number | undefined;
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
/** Senders that have their turn at any one moment, on average. */
const OPEN_SENDERS = 2;
/**
 * An interval that grew by more than this factor begins anew at a random phase.
 * Senders that sent together at a higher pace would all be due together at the
 * end of the longer interval, and none before.
 */
const GROWN_FACTOR = 1.25;
/** Rounding moves a moment that ends an interval into the one before it. */
const ROUNDING_SHARE = 1e-9;

/**
 * Paces requests to endpoints that take only so many from all senders. Load: a
 * zone of endpoints comes back cold under full traffic, or one names a limit;
 * it crashes, or breaks its promises, if all senders together exceed that.
 *
 * Each sender has an equal share and needs no word from the others: one request
 * in an interval, and that within its turn, a part of the interval at a random
 * phase. A share that isn't used in its turn is lost. If it could be kept, all
 * senders would have one ready, and would send them in the same moment when the
 * other endpoints fail.
 */
export class SharedPace {
  readonly #random: RandomSource;
  readonly #paces = new Map<string, Pace>();

  constructor(random: RandomSource) {
    this.#random = random;
  }

  /** Milliseconds until this sender may send one more request; 0 for now. */
  waitFor(endpointId: string, request: PaceRequest): number {
    const { now, sharers } = request;
    const pace = this.#paceOf(endpointId, now);
    pace.askedAt = now;
    const interval = intervalOf(request);
    if (interval > (pace.interval ?? interval) * GROWN_FACTOR) {
      pace.phase = this.#random.next();
      pace.startedAt = now;
      pace.lastAt = undefined;
    }
    pace.interval = interval;
    const firstAt = pace.startedAt + pace.phase * interval;
    const dueAt = pace.lastAt === undefined ? firstAt : pace.lastAt + interval;
    const from = Math.max(now, dueAt);
    if (sharers <= OPEN_SENDERS) return from - now;
    const passed = (from - firstAt) / interval + ROUNDING_SHARE;
    const ofInterval = passed - Math.floor(passed);
    const isTurn = ofInterval < OPEN_SENDERS / sharers;
    return from - now + (isTurn ? 0 : (1 - ofInterval) * interval);
  }

  /** Notes that an endpoint is sent a request. */
  sent(endpointId: string, now: number): void {
    this.#paceOf(endpointId, now).lastAt = now;
  }

  #paceOf(endpointId: string, now: number): Pace {
    const known = this.#paces.get(endpointId);
    if (
      known !== undefined && now - known.askedAt < FORGOTTEN_AFTER_MILLISECONDS
    ) return known;
    this.#forgetOld(now);
    const pace: Pace = {
      phase: this.#random.next(),
      startedAt: now,
      interval: undefined,
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

/** Between two requests of one sender, milliseconds. */
function intervalOf({ perSecond, sharers }: PaceRequest): number {
  const used = sharers > 1 ? USED_SHARE : 1;
  return sharers * MILLISECONDS_PER_SECOND / (perSecond * used);
}
