/** Bounds from which the grace period of missing entries is computed. */
export interface MissingEntryGracePeriodOptions {
  /** Time after which a leaving endpoint must get no more requests. */
  readonly drainMilliseconds: number;
  /** Time from the list's recovery until all bounds are enforced again. */
  readonly contactMilliseconds: number;
  /** Time from the choice of an endpoint until a request arrives there. */
  readonly sendMilliseconds: number;
}

/**
 * Time after the list's recovery within which live endpoints renew entries that
 * expired while the list was unavailable. Specified by the platform.
 */
const REAPPEARANCE_MILLISECONDS = 2_000;

/**
 * Decides whether a missing entry expired while the list could not be written
 * or its endpoint has left.
 *
 * Endpoints may leave in the seconds around an outage in which the entries of
 * all others expire. If expired entries counted as left, no endpoint would
 * remain; if left endpoints counted as expired, they would get requests past
 * their bound. Therefore a missing entry's endpoint stays in use until the
 * earliest of three times:
 *
 * - the time by which live endpoints have renewed their entries, counted from
 *   the first answer, which came after the recovery;
 * - the drain bound less the time that a request takes, counted from the first
 *   answer, for endpoints that were removed after that answer;
 * - the time at which all bounds are enforced again after the recovery, for
 *   endpoints that were removed between the recovery and the first answer. The
 *   time of the recovery is unknown, but the last failed call began before it.
 *   This doesn't hold for a single failed call: it may have used a dead
 *   connection, and the outage may have ended at any time since the previous
 *   answer.
 */
export class MissingEntryGracePeriod {
  readonly #options: MissingEntryGracePeriodOptions;
  /** Start of the last failed call; monotonic milliseconds. */
  #failedCallAt: number | undefined;
  #failedCalls = 0;
  #isRestored = false;
  #answeredAt = Number.NEGATIVE_INFINITY;
  #endsAt = Number.NEGATIVE_INFINITY;

  constructor(options: MissingEntryGracePeriodOptions) {
    this.#options = options;
  }

  /** Records the failure of a call that began at `startedAt`. */
  failed(startedAt: number): void {
    this.#failedCallAt = startedAt;
    this.#failedCalls++;
  }

  /**
   * Records that the list was restored from an older copy: entries written
   * since then are missing until they are written again. The list was
   * unavailable at some time between the last two answers, as with a single
   * failed call.
   */
  restored(): void {
    this.#failedCalls = Math.max(this.#failedCalls, 1);
    this.#isRestored = true;
  }

  /**
   * Records that another daemon got an answer, and the end of its grace period;
   * returns whether a grace period begins here.
   */
  confirmed(now: number, peerEndsAt: number | undefined): boolean {
    const wasActive = this.endsAt(now) !== undefined;
    // A peer that started after the restore doesn't know earlier entries.
    if (this.#isRestored) this.answered(now);
    this.#answeredAt = now;
    this.#failedCallAt = undefined;
    this.#failedCalls = 0;
    this.#endsAt = Math.max(this.#endsAt, peerEndsAt ?? this.#endsAt);
    return !wasActive && this.endsAt(now) !== undefined;
  }

  /** Records an answered call; returns true for the first after a failure. */
  answered(now: number): boolean {
    const unavailableAt = this.#lastUnavailableAt();
    this.#answeredAt = now;
    this.#failedCallAt = undefined;
    this.#failedCalls = 0;
    this.#isRestored = false;
    if (unavailableAt === undefined) return false;
    const { contactMilliseconds, sendMilliseconds } = this.#options;
    this.#endsAt = Math.min(
      this.reappearsBy(now),
      unavailableAt + contactMilliseconds - sendMilliseconds,
    );
    return true;
  }

  /** Time by which a live endpoint renews an entry that is missing now. */
  reappearsBy(now: number): number {
    const { drainMilliseconds, sendMilliseconds } = this.#options;
    return now +
      Math.min(REAPPEARANCE_MILLISECONDS, drainMilliseconds - sendMilliseconds);
  }

  /** Latest known time at or after which the list was unavailable. */
  #lastUnavailableAt(): number | undefined {
    return this.#failedCalls === 1 ? this.#answeredAt : this.#failedCallAt;
  }

  /**
   * Time until which an entry that is found missing now may reappear; undefined
   * when its endpoint has left.
   */
  endsAt(now: number): number | undefined {
    return now < this.#endsAt ? this.#endsAt : undefined;
  }
}
