import type { RandomSource, TimerService } from "kelpspar-shared";
import type { FeedTimes } from "./feed_times.ts";
import type { CallTimes } from "./table_store.ts";
import { StoreTimeoutError } from "./table_store.ts";

/** Options of `FeedPace`. */
export interface FeedPaceOptions {
  readonly timer: TimerService;
  readonly random: RandomSource;
  /** Timing of the next call. */
  readonly times: () => FeedTimes;
  /** True while the next change is needed soon. */
  readonly isUrgent?: (() => boolean) | undefined;
}

/**
 * Delay after a failed call, milliseconds. Doubles up to the maximum, plus
 * jitter of up to half of it. Rejected calls cost the store as much as others.
 */
const INITIAL_RETRY_DELAY_MILLISECONDS = 150;
/** Upper end of the first retry delay with its jitter. */
export const MAXIMUM_FIRST_RETRY_DELAY_MILLISECONDS =
  INITIAL_RETRY_DELAY_MILLISECONDS * 1.5;
/** Well below the two seconds in which entries return, milliseconds. */
export const MAXIMUM_RETRY_DELAY_MILLISECONDS = 800;
/** Poll interval while the next change is needed soon, milliseconds. */
const URGENT_POLL_MILLISECONDS = 250;
/**
 * Timeout of calls after a failure, milliseconds; they don't wait for a change.
 * A call sent during a network silence stays unanswered after the silence ends.
 * With the usual timeout the list would be read seconds after the store's
 * recovery, and endpoints that left meanwhile would get requests.
 */
const PROBE_TIMEOUT_MILLISECONDS = 600;
/**
 * Timeout of the first read of a table, milliseconds since the last part of its
 * answer. Other daemons are asked for the table after that.
 */
const FIRST_READ_TIMEOUT_MILLISECONDS = 600;
/** After this, calls use the usual timeout: the store may be slow, ms. */
const PROBE_PHASE_MILLISECONDS = 8_000;

/** Decides when a feed calls the store, how long calls wait, and their timeouts. */
export class FeedPace {
  readonly #options: FeedPaceOptions;
  /** When the first of the current series of failed calls failed. */
  #failingSince: number | undefined;
  #retryDelay = INITIAL_RETRY_DELAY_MILLISECONDS;
  /** Calls that timed out since the store answered. */
  #timeouts = 0;
  /** When the store last answered. */
  #answeredAt: number | undefined;

  constructor(options: FeedPaceOptions) {
    this.#options = options;
  }

  get failingSince(): number | undefined {
    return this.#failingSince;
  }

  /** Records an answer. */
  recordAnswer(): void {
    this.#answeredAt = this.#options.timer.now();
    this.#failingSince = undefined;
    this.#timeouts = 0;
    this.#retryDelay = INITIAL_RETRY_DELAY_MILLISECONDS;
  }

  /** Records a failed call; returns the delay before the next, milliseconds. */
  recordFailure(error: unknown): number {
    this.#failingSince ??= this.#options.timer.now();
    return this.#isRetriedAtOnce(error) ? 0 : this.#nextRetryDelay();
  }

  /** How long a call that starts at `startedAt` may wait, milliseconds. */
  waitOf(startedAt: number): number {
    const {
      waitMilliseconds,
      maximumAnswerIntervalMilliseconds = Number.POSITIVE_INFINITY,
    } = this.#options.times();
    const answeredAt = this.#answeredAt ?? startedAt;
    const left = answeredAt + maximumAnswerIntervalMilliseconds - startedAt;
    return Math.max(0, Math.min(waitMilliseconds, left));
  }

  /**
   * Delay between the answer to a call that waited up to `allowedMilliseconds`
   * and the next call, milliseconds.
   */
  pauseAfter(
    call: {
      readonly startedAt: number;
      readonly allowedMilliseconds: number;
      readonly hasRows: boolean;
    },
  ): number {
    const { timer, times } = this.#options;
    const {
      waitMilliseconds,
      maximumAnswerIntervalMilliseconds = Number.POSITIVE_INFINITY,
    } = times();
    const pause = this.#pollInterval() - (timer.now() - call.startedAt);
    const wasShortened = call.allowedMilliseconds < waitMilliseconds;
    if (call.hasRows || !wasShortened) return pause;
    // Otherwise the next call would start late as well, and so would all others.
    return Math.min(
      pause,
      maximumAnswerIntervalMilliseconds - waitMilliseconds,
    );
  }

  /** Wait and timeout of a call. */
  callTimes(
    waitMilliseconds: number,
    options: { readonly isFirstRead: boolean },
  ): CallTimes {
    const failingSince = this.#failingSince;
    const { callTimeoutMilliseconds, retryTimeoutMilliseconds } = this.#options
      .times();
    if (failingSince === undefined && options.isFirstRead) {
      return { callTimeoutMilliseconds: FIRST_READ_TIMEOUT_MILLISECONDS };
    }
    if (failingSince === undefined) {
      return {
        waitMilliseconds,
        ...(callTimeoutMilliseconds === undefined
          ? {}
          : { callTimeoutMilliseconds }),
      };
    }
    if (this.#timeouts === 1 && retryTimeoutMilliseconds !== undefined) {
      return { callTimeoutMilliseconds: retryTimeoutMilliseconds };
    }
    const isLong =
      this.#options.timer.now() - failingSince > PROBE_PHASE_MILLISECONDS;
    return isLong
      ? {}
      : { callTimeoutMilliseconds: PROBE_TIMEOUT_MILLISECONDS };
  }

  /** True while the connection rather than the store may be silent. */
  #isRetriedAtOnce(error: unknown): boolean {
    const { retryTimeoutMilliseconds, minimumRetryDelayMilliseconds } = this
      .#options.times();
    if (minimumRetryDelayMilliseconds !== undefined) return false;
    if (!(error instanceof StoreTimeoutError)) return false;
    this.#timeouts++;
    return this.#timeouts <= (retryTimeoutMilliseconds === undefined ? 1 : 2);
  }

  #pollInterval(): number {
    const { times, isUrgent } = this.#options;
    const { pollIntervalMilliseconds } = times();
    return isUrgent?.() === true
      ? Math.min(pollIntervalMilliseconds, URGENT_POLL_MILLISECONDS)
      : pollIntervalMilliseconds;
  }

  /** With jitter, so that daemons don't all retry a weak store at once. */
  #nextRetryDelay(): number {
    const { random, times } = this.#options;
    const { minimumRetryDelayMilliseconds = 0, maximumRetryDelayMilliseconds } =
      times();
    const pause = Math.max(this.#retryDelay, minimumRetryDelayMilliseconds);
    this.#retryDelay = Math.min(pause * 2, maximumRetryDelayMilliseconds);
    return pause * (1 + random.next() / 2);
  }
}
