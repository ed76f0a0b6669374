import type { EndpointEntry } from "./endpoint_entry.ts";

/** Weight of the newest sample in the moving averages. */
const NEWEST_WEIGHT = 0.3;
/** Share of recent failures above which an endpoint is set aside. */
const FAILING_SHARE = 0.35;
/** First time set aside; doubles with each that follows a failed trial. */
const FIRST_PAUSE_MILLISECONDS = 700;
/**
 * The longest time set aside. A grey endpoint is then tried about once in a
 * window of the retry budget, and one that recovered is back within it.
 */
const LONGEST_PAUSE_MILLISECONDS = 5_000;
/**
 * Time over which a slow endpoint's factor halves while it gets no work.
 * Without it, an endpoint that was slow once would never be tried again.
 */
const SLOWNESS_HALF_LIFE_MILLISECONDS = 2_500;

/** Limit for what an endpoint says of its being cold, milliseconds. */
const LONGEST_COLD_MILLISECONDS = 60_000;

/** What one daemon knows of an endpoint from its own calls. */
export class EndpointState {
  entry: EndpointEntry;
  /** Calls under way from this daemon. */
  inFlight = 0;
  /** Set while the entry is gone but may come back; monotonic ms. */
  lapsesAt: number | undefined;
  /** Set while its availability zone is evacuated. */
  isEvacuated = false;
  readonly #ended = new AbortController();
  #failingShare = 0;
  #setAsideUntil = 0;
  #pausedUntil = 0;
  #coldUntil = 0;
  #presumedColdUntil = 0;
  #pause = FIRST_PAUSE_MILLISECONDS;
  #slowness = 1;
  #slownessAt = 0;

  constructor(entry: EndpointEntry) {
    this.entry = entry;
  }

  /** Observed time against the expected one; 1 is as expected. */
  slowness(now: number): number {
    const age = Math.max(0, now - this.#slownessAt);
    const halves = age / SLOWNESS_HALF_LIFE_MILLISECONDS;
    return 1 + (this.#slowness - 1) * 0.5 ** halves;
  }

  /**
   * Aborted when the endpoint was started again: what ran there is lost, and a
   * connection to the life before may stay silent until the request's time is
   * up.
   */
  get ended(): AbortSignal {
    return this.#ended.signal;
  }

  /** Says that this life of the endpoint is over. */
  end(): void {
    this.#ended.abort();
  }

  isSetAside(now: number): boolean {
    return now < this.#setAsideUntil;
  }

  /** It wants nothing from this daemon until then, monotonic milliseconds. */
  pause(until: number): void {
    this.#pausedUntil = Math.max(this.#pausedUntil, until);
  }

  /** Milliseconds until it may be sent anything; 0 when it may be now. */
  pauseLeft(now: number): number {
    return Math.max(0, this.#pausedUntil - now);
  }

  /** Takes in how much longer it says that it is cold, milliseconds. */
  tellCold(milliseconds: number, now: number): void {
    const cold = Math.min(milliseconds, LONGEST_COLD_MILLISECONDS);
    this.#coldUntil = now + cold;
  }

  /** It may have become cold and not said so yet; monotonic milliseconds. */
  presumeCold(until: number): void {
    this.#presumedColdUntil = Math.max(this.#presumedColdUntil, until);
  }

  /** True while it bears fewer requests a second than later on. */
  isCold(now: number): boolean {
    return now < this.#coldUntil || now < this.#presumedColdUntil;
  }

  /** True when nothing speaks against sending it work now. */
  isSound(now: number): boolean {
    return !this.isEvacuated && !this.isSetAside(now) &&
      this.pauseLeft(now) === 0;
  }

  /** Counts a call that ended well, `ratio` times as long as expected. */
  succeeded(ratio: number, now: number): void {
    this.#failingShare *= 1 - NEWEST_WEIGHT;
    if (this.#failingShare < FAILING_SHARE / 2) {
      this.#pause = FIRST_PAUSE_MILLISECONDS;
    }
    const current = this.slowness(now);
    this.#slowness = current + NEWEST_WEIGHT * (ratio - current);
    this.#slownessAt = now;
  }

  /**
   * Counts a call that failed. `isCertain` says that the endpoint can't take
   * calls now (nothing listens there), so that one failure is enough.
   */
  failed(isCertain: boolean, now: number): void {
    this.#failingShare += NEWEST_WEIGHT * (1 - this.#failingShare);
    if (!isCertain && this.#failingShare < FAILING_SHARE) return;
    if (this.isSetAside(now)) return;
    this.#setAsideUntil = now + this.#pause;
    this.#pause = Math.min(this.#pause * 2, LONGEST_PAUSE_MILLISECONDS);
  }

  /** Counts an answer that is still due far beyond its expected time. */
  overdue(ratio: number, now: number): void {
    if (ratio <= this.slowness(now)) return;
    this.#slowness = ratio;
    this.#slownessAt = now;
  }
}
