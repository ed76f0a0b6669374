import type { ServiceLoad } from "../load/service_load.ts";
import type { EndpointEntry } from "./endpoint_entry.ts";
import { EndpointLoad } from "../load/endpoint_load.ts";
import { ResumeTrials } from "./resume_trials.ts";

/** Weight of the newest sample in the exponential moving averages. */
const NEWEST_WEIGHT = 0.3;
/** Share of recent failures from which an endpoint is set aside. */
const FAILURE_SHARE_THRESHOLD = 0.35;
/** Duration of the first set-aside; doubles after each failed trial. */
const INITIAL_SET_ASIDE_MILLISECONDS = 700;
/**
 * A partially failing endpoint is then tried about once per window of the retry
 * budget, and a recovered endpoint is back in use within one window.
 */
const MAXIMUM_SET_ASIDE_MILLISECONDS = 5_000;
/**
 * Half-life of a slow endpoint's slowness while it gets no work. Without decay,
 * an endpoint that was slow once would never be tried again.
 */
const SLOWNESS_HALF_LIFE_MILLISECONDS = 2_500;

/** Ratio to the expected time up to which a call's time is normal. */
const NORMAL_RATIO = 2;

/** Pause of an endpoint that refused a connection. */
const REFUSED_PAUSE_MILLISECONDS = 700;

/** Upper bound for the cold time that an endpoint reports. */
const MAXIMUM_COLD_MILLISECONDS = 60_000;

/** End of a call whose answer was overdue; times are monotonic milliseconds. */
export interface OverdueCallEnd {
  /** False if the call was given up, or its outcome is unknown. */
  readonly isAnswered: boolean;
  readonly startedAt: number;
  readonly now: number;
}

/** State of an endpoint as observed by one daemon. */
export class EndpointState {
  entry: EndpointEntry;
  /** Calls in flight from this daemon. */
  inFlight = 0;
  /**
   * Set while the entry is missing but may reappear; monotonic milliseconds.
   */
  expiresAt: number | undefined;
  /** True while its availability zone is evacuated. */
  isEvacuated = false;
  /** Load that it reported, and estimates derived from it. */
  readonly load: EndpointLoad;
  readonly #ended = new AbortController();
  #failureShare = 0;
  #setAsideUntil = 0;
  #pausedUntil = 0;
  #refusedUntil = 0;
  #coldUntil = 0;
  #presumedColdUntil = 0;
  #setAsideMilliseconds = INITIAL_SET_ASIDE_MILLISECONDS;
  #slowness = 1;
  #slownessAt = 0;
  /** Calls in flight whose answers are overdue. */
  #overdueCalls = 0;
  /** Whether one of the calls that were overdue together was answered. */
  #hasResumed = false;
  readonly #trials = new ResumeTrials();

  constructor(entry: EndpointEntry, service: ServiceLoad) {
    this.entry = entry;
    this.load = new EndpointLoad({
      service,
      entry: () => this.entry,
      ownCalls: () => this.inFlight,
    });
  }

  /**
   * Expected ratio of call time to the expected one: with reported load where
   * endpoints of the service report it, otherwise as observed.
   */
  expectedSlowness(now: number): number {
    if (!this.load.isActive) return this.slowness(now);
    return this.#isTrialDue(now) ? this.load.pace : this.load.slowness(now);
  }

  /**
   * Ratio of observed to expected call time, decayed to `now`; 1 if a trial
   * call is due.
   */
  slowness(now: number): number {
    return this.#isTrialDue(now) ? 1 : this.#decayedSlowness(now);
  }

  #isTrialDue(now: number): boolean {
    return this.inFlight === 0 && this.#trials.isDue(now);
  }

  #decayedSlowness(now: number): number {
    const age = Math.max(0, now - this.#slownessAt);
    const halfLives = age / SLOWNESS_HALF_LIFE_MILLISECONDS;
    return 1 + (this.#slowness - 1) * 0.5 ** halfLives;
  }

  /**
   * Aborted when the endpoint restarts: its calls in flight are lost, and a
   * connection to the earlier incarnation may stay silent until the request's
   * deadline.
   */
  get ended(): AbortSignal {
    return this.#ended.signal;
  }

  /** Marks this incarnation of the endpoint as over. */
  end(): void {
    this.#ended.abort();
  }

  isSetAside(now: number): boolean {
    return now < this.#setAsideUntil;
  }

  /**
   * Blocks all calls until a time that the endpoint requested, monotonic ms.
   */
  pause(until: number): void {
    this.#pausedUntil = Math.max(this.#pausedUntil, until);
  }

  /**
   * Remaining time without calls, because the endpoint requested it or refused
   * a connection, milliseconds; 0 when calls are allowed now.
   */
  remainingPauseMilliseconds(now: number): number {
    return Math.max(0, this.#pausedUntil - now, this.#refusedUntil - now);
  }

  /** Remaining time without calls that the endpoint requested, milliseconds. */
  remainingRequestedPauseMilliseconds(now: number): number {
    return Math.max(0, this.#pausedUntil - now);
  }

  /**
   * Records the remaining cold time that the endpoint reported, milliseconds.
   */
  setCold(milliseconds: number, now: number): void {
    const cold = Math.min(milliseconds, MAXIMUM_COLD_MILLISECONDS);
    this.#coldUntil = now + cold;
  }

  /** Presumes the endpoint cold until a time, monotonic milliseconds. */
  presumeCold(until: number): void {
    this.#presumedColdUntil = Math.max(this.#presumedColdUntil, until);
  }

  /** True while the endpoint can take only a reduced request rate. */
  isCold(now: number): boolean {
    return now < this.#coldUntil || now < this.#presumedColdUntil;
  }

  /** Whether the endpoint is neither evacuated, set aside nor paused. */
  isHealthy(now: number): boolean {
    return !this.isEvacuated && !this.isSetAside(now) &&
      this.remainingPauseMilliseconds(now) === 0;
  }

  /**
   * Records a successful call that took `ratio` times the expected time.
   * `startedAt` is in monotonic milliseconds.
   */
  succeeded(ratio: number, now: number, startedAt = now): void {
    this.#failureShare *= 1 - NEWEST_WEIGHT;
    if (this.#failureShare < FAILURE_SHARE_THRESHOLD / 2) {
      this.#setAsideMilliseconds = INITIAL_SET_ASIDE_MILLISECONDS;
    }
    const isNormal = ratio < NORMAL_RATIO;
    const hasRecovered = this.#trials.record({ isNormal, startedAt, now });
    if (hasRecovered) this.load.forgetSlowdown();
    const current = hasRecovered ? 1 : this.#decayedSlowness(now);
    this.#slowness = current + NEWEST_WEIGHT * (ratio - current);
    this.#slownessAt = now;
  }

  /** Counts a call whose answer is overdue as failed while it goes on. */
  callOverdue(now: number): void {
    this.#overdueCalls++;
    this.failed(false, now);
  }

  /**
   * Records the end of an overdue call. Once all of them have ended and one was
   * answered, the endpoint was only silent and has no failures, unless it is
   * slow: others may have been given up meanwhile. Returns whether the call's
   * time shows how fast the endpoint is.
   */
  overdueCallEnded({ isAnswered, startedAt, now }: OverdueCallEnd): boolean {
    this.#overdueCalls--;
    this.#hasResumed ||= isAnswered;
    if (!this.#hasResumed || this.#overdueCalls > 0) return this.#trials.isSlow;
    this.#hasResumed = false;
    this.#trials.record({ isNormal: false, startedAt, now });
    if (this.#trials.start(now)) this.#clearFailures();
    return this.#trials.isSlow;
  }

  /**
   * Records a failed call. If `isCertain`, the endpoint can't take calls now
   * (nothing listens there): one failure is enough to set it aside, and it gets
   * no calls for a while even if all others are set aside too.
   */
  failed(isCertain: boolean, now: number): void {
    if (isCertain) this.#refusedUntil = now + REFUSED_PAUSE_MILLISECONDS;
    this.#failureShare += NEWEST_WEIGHT * (1 - this.#failureShare);
    if (!isCertain && this.#failureShare < FAILURE_SHARE_THRESHOLD) return;
    if (this.isSetAside(now)) return;
    this.#setAsideUntil = now + this.#setAsideMilliseconds;
    this.#setAsideMilliseconds = Math.min(
      this.#setAsideMilliseconds * 2,
      MAXIMUM_SET_ASIDE_MILLISECONDS,
    );
  }

  /**
   * Forgets failed and slow calls that weren't the endpoint's fault, as after a
   * partition of this daemon.
   */
  forgetFailures(): void {
    this.#clearFailures();
    this.#slowness = 1;
    this.load.forgetSlowdown();
  }

  #clearFailures(): void {
    this.#failureShare = 0;
    this.#setAsideUntil = 0;
    this.#refusedUntil = 0;
    this.#setAsideMilliseconds = INITIAL_SET_ASIDE_MILLISECONDS;
  }

  /** Records an answer that is overdue at `ratio` times its expected time. */
  overdue(ratio: number, now: number): void {
    if (ratio <= this.#decayedSlowness(now)) return;
    this.#slowness = ratio;
    this.#slownessAt = now;
  }
}
