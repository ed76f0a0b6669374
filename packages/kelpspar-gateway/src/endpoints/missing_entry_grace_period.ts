/** From what it is worked out how long a missing endpoint is believed. */
export interface LapseWindowOptions {
  /** After which a leaving endpoint must get no more requests, milliseconds. */
  readonly drainMilliseconds: number;
  /**
   * Time from the return of the list until bounds hold again, milliseconds.
   */
  readonly contactMilliseconds: number;
  /** From the choice of an endpoint until a request is there, milliseconds. */
  readonly sendMilliseconds: number;
}

/**
 * Entries that lapsed while the list was away are back within this time of its
 * return if their endpoint lives, milliseconds. Source: the platform.
 */
const BACK_MILLISECONDS = 2_000;

/**
 * Decides whether an entry that is missing lapsed while the list could not be
 * written, or its endpoint has left.
 *
 * Load: endpoints leave in the seconds around an outage in which the entries of
 * all others lapse. Taken for leaving, lapses leave no endpoint; taken for
 * lapses, leavings get requests past their bound. So a missing entry is
 * believed until the earliest of three times, and not at all after them:
 *
 * - entries whose endpoints live are back by then, counted from the first
 *   answer, which came after the return;
 * - what was removed after the first answer must get no more: the bound of
 *   leaving, counted from that answer, with the time that a request takes;
 * - what was removed between the return and the first answer must get no more
 *   once bounds hold again. The return isn't known, but the last call that
 *   failed began before it. Not so a single one: it may have gone out on a
 *   connection that was dead, and the trouble was over at any time since the
 *   answer before.
 */
export class LapseWindow {
  readonly #options: LapseWindowOptions;
  /** When the last call that failed began; monotonic milliseconds. */
  #failedCallAt: number | undefined;
  #failedCalls = 0;
  #isRestored = false;
  #answeredAt = Number.NEGATIVE_INFINITY;
  #endsAt = Number.NEGATIVE_INFINITY;

  constructor(options: LapseWindowOptions) {
    this.#options = options;
  }

  /** Takes in that a call that began at `startedAt` failed. */
  failed(startedAt: number): void {
    this.#failedCallAt = startedAt;
    this.#failedCalls++;
  }

  /**
   * Takes in that the list came back as it was some time before: entries
   * written since then are missing until they are written again. It was away
   * between the last two answers, like around a single call that failed.
   */
  restored(): void {
    this.#failedCalls = Math.max(this.#failedCalls, 1);
    this.#isRestored = true;
  }

  /**
   * Takes in that another daemon had an answer, and until when it believes
   * missing entries; true when a time of believing begins here.
   */
  confirmed(now: number, heldUntil: number | undefined): boolean {
    const wasHeld = this.heldUntil(now) !== undefined;
    // A source that was started since knows nothing of entries before.
    if (this.#isRestored) this.answered(now);
    this.#answeredAt = now;
    this.#failedCallAt = undefined;
    this.#failedCalls = 0;
    this.#endsAt = Math.max(this.#endsAt, heldUntil ?? this.#endsAt);
    return !wasHeld && this.heldUntil(now) !== undefined;
  }

  /** Takes in that a call was answered; true for the first after a failure. */
  answered(now: number): boolean {
    const awayAt = this.#lastAwayAt();
    this.#answeredAt = now;
    this.#failedCallAt = undefined;
    this.#failedCalls = 0;
    this.#isRestored = false;
    if (awayAt === undefined) return false;
    const { contactMilliseconds, sendMilliseconds } = this.#options;
    this.#endsAt = Math.min(
      this.backBy(now),
      awayAt + contactMilliseconds - sendMilliseconds,
    );
    return true;
  }

  /** When an entry must be back whose endpoint lives, if it is missing now. */
  backBy(now: number): number {
    const { drainMilliseconds, sendMilliseconds } = this.#options;
    return now +
      Math.min(BACK_MILLISECONDS, drainMilliseconds - sendMilliseconds);
  }

  /** A time at which, or after which, the list was away for sure. */
  #lastAwayAt(): number | undefined {
    return this.#failedCalls === 1 ? this.#answeredAt : this.#failedCallAt;
  }

  /**
   * Until when an entry that is found missing now may come back; undefined
   * when its endpoint has left.
   */
  heldUntil(now: number): number | undefined {
    return now < this.#endsAt ? this.#endsAt : undefined;
  }
}
