import type { RandomSource } from "kelpspar-shared";

/** Inputs for pacing one sender's requests to an endpoint. */
export interface RateLimitRequest {
  /** Requests per second that all senders together may send to the endpoint. */
  readonly perSecond: number;
  /** Number of senders that share the limit, including this one. */
  readonly senders: number;
  /** Monotonic milliseconds. */
  readonly now: number;
}

interface Pacer {
  /** Offset of this sender's first slot in the first interval, 0 to 1. */
  phase: number;
  startedAt: number;
  interval: number | undefined;
  lastSentAt: number | undefined;
  lastUsedAt: number;
}

/** Time without use after which an endpoint's pacer is reset, milliseconds. */
const IDLE_EXPIRY_MILLISECONDS = 10_000;
const MILLISECONDS_PER_SECOND = 1_000;
/**
 * Part of the equal share that is used when there are several senders, because
 * each may know of fewer senders than there are.
 */
const SAFETY_FACTOR = 0.75;
/** Mean number of senders whose slot is open at the same time. */
const CONCURRENT_SENDERS = 2;
/**
 * Growth of the interval above which it restarts at a random phase. Senders
 * that sent together at a higher rate would otherwise all be due together at
 * the end of the longer interval, and none before.
 */
const INTERVAL_RESET_FACTOR = 1.25;
/** Compensates rounding that moves the end of an interval to the one before. */
const ROUNDING_TOLERANCE = 1e-9;

/**
 * Paces requests to endpoints with a rate limit that all senders share: a zone
 * of endpoints that returns cold under full traffic, or an endpoint that states
 * a limit. Such an endpoint crashes or misses its guarantees if all senders
 * together exceed the limit.
 *
 * Each sender has an equal share without coordination: one request per
 * interval, within its slot, a part of the interval at a random phase. A share
 * that isn't used in its slot is lost. If it could be saved, all senders would
 * have one available and would send at the same moment when the other endpoints
 * fail.
 */
export class SharedRateLimiter {
  readonly #random: RandomSource;
  readonly #pacers = new Map<string, Pacer>();

  constructor(random: RandomSource) {
    this.#random = random;
  }

  /** Milliseconds until this sender may send another request; 0 if now. */
  delayFor(endpointId: string, request: RateLimitRequest): number {
    const { now, senders } = request;
    const pacer = this.#getOrCreatePacer(endpointId, now);
    pacer.lastUsedAt = now;
    const interval = intervalMilliseconds(request);
    if (interval > (pacer.interval ?? interval) * INTERVAL_RESET_FACTOR) {
      pacer.phase = this.#random.next();
      pacer.startedAt = now;
      pacer.lastSentAt = undefined;
    }
    pacer.interval = interval;
    const firstSlotAt = pacer.startedAt + pacer.phase * interval;
    const dueAt = pacer.lastSentAt === undefined
      ? firstSlotAt
      : pacer.lastSentAt + interval;
    const from = Math.max(now, dueAt);
    if (senders <= CONCURRENT_SENDERS) return from - now;
    const elapsedIntervals = (from - firstSlotAt) / interval +
      ROUNDING_TOLERANCE;
    const intervalFraction = elapsedIntervals - Math.floor(elapsedIntervals);
    const isInSlot = intervalFraction < CONCURRENT_SENDERS / senders;
    return from - now +
      (isInSlot ? 0 : (1 - intervalFraction) * interval);
  }

  /** Records that a request was sent to an endpoint. */
  recordSent(endpointId: string, now: number): void {
    this.#getOrCreatePacer(endpointId, now).lastSentAt = now;
  }

  #getOrCreatePacer(endpointId: string, now: number): Pacer {
    const existing = this.#pacers.get(endpointId);
    if (
      existing !== undefined &&
      now - existing.lastUsedAt < IDLE_EXPIRY_MILLISECONDS
    ) return existing;
    this.#dropExpired(now);
    const pacer: Pacer = {
      phase: this.#random.next(),
      startedAt: now,
      interval: undefined,
      lastSentAt: undefined,
      lastUsedAt: now,
    };
    this.#pacers.set(endpointId, pacer);
    return pacer;
  }

  #dropExpired(now: number): void {
    for (const [id, { lastUsedAt }] of this.#pacers) {
      if (now - lastUsedAt >= IDLE_EXPIRY_MILLISECONDS) this.#pacers.delete(id);
    }
  }
}

/** Interval between two requests of one sender, milliseconds. */
function intervalMilliseconds(
  { perSecond, senders }: RateLimitRequest,
): number {
  const factor = senders > 1 ? SAFETY_FACTOR : 1;
  return senders * MILLISECONDS_PER_SECOND / (perSecond * factor);
}
