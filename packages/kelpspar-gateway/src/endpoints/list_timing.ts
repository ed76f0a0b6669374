/** Bounds from which the timing of reads of the endpoint list is computed. */
export interface ListTimingBounds {
  /** Time after which a leaving endpoint must get no more requests. */
  readonly drainMilliseconds: number;
  /** Time from the end of an outage until all bounds are enforced again. */
  readonly contactMilliseconds: number;
  /** Time from the choice of an endpoint until a request arrives there. */
  readonly sendMilliseconds: number;
  /** Longest backoff after a first failed call. */
  readonly backoffMilliseconds: number;
  /**
   * Time within which a change of the configuration must be applied, if there
   * is such a bound; the list's answers show that there is one.
   */
  readonly applyMilliseconds?: number | undefined;
}

/** Timing of the calls that read the list. */
export interface ListTiming {
  /** Minimum time between the starts of two calls. */
  readonly pollIntervalMilliseconds: number;
  /** How long a call waits for a change (long poll). */
  readonly waitMilliseconds: number;
  /** Timeout of a call beyond `waitMilliseconds`. */
  readonly callTimeoutMilliseconds: number;
  /** Timeout of the first call after one that timed out. */
  readonly retryTimeoutMilliseconds: number;
  /** Longest time between two answers while no connection is silent. */
  readonly maximumAnswerIntervalMilliseconds: number;
}

/**
 * Interval between calls as a share of the drain bound. Each call has a price,
 * and while endpoints come and go each call is answered at once, so the
 * interval should be long. The rest of the bound, after which a leaving
 * endpoint must get nothing, is left for the call and for requests that wait
 * for a connection.
 */
const INTERVAL_SHARE = 0.55;
/** Long enough for a slow store to answer. */
const CALL_TIMEOUT_MILLISECONDS = 600;
const MAXIMUM_WAIT_MILLISECONDS = 1_000;
const MINIMUM_WAIT_MILLISECONDS = 100;
const MINIMUM_POLL_INTERVAL_MILLISECONDS = 100;
/** Timeout as a share of the bound for configurations, if that is short. */
const CALL_TIMEOUT_SHARE = 0.3;
const MINIMUM_CALL_TIMEOUT_MILLISECONDS = 150;
const MAXIMUM_RETRY_TIMEOUT_MILLISECONDS = 150;
/** Margin for the answer itself and for timers that fire late. */
const ANSWER_MARGIN_MILLISECONDS = 100;
/** From an answer that shows a change until the change was read. */
const CHANGE_READ_MILLISECONDS = 50;

/**
 * Computes when the list is read, so that all waits together end before the
 * bounds are enforced again.
 *
 * In the worst case connections go dead just after a call. The next call starts
 * one interval later, waits in vain for a change and then for its timeout; only
 * the call after it is answered. If wait and timeout were chosen independently,
 * this would take longer than `contactMilliseconds`, and endpoints that left
 * meanwhile would get requests.
 */
export function computeListTiming(bounds: ListTimingBounds): ListTiming {
  const { applyMilliseconds = Number.POSITIVE_INFINITY } = bounds;
  const callTimeoutMilliseconds = Math.min(
    CALL_TIMEOUT_MILLISECONDS,
    Math.max(
      applyMilliseconds * CALL_TIMEOUT_SHARE,
      MINIMUM_CALL_TIMEOUT_MILLISECONDS,
    ),
  );
  const retryTimeoutMilliseconds = Math.min(
    MAXIMUM_RETRY_TIMEOUT_MILLISECONDS,
    callTimeoutMilliseconds / 2,
  );
  const pollIntervalMilliseconds = Math.min(
    bounds.drainMilliseconds * INTERVAL_SHARE,
    Math.max(
      applyMilliseconds - callTimeoutMilliseconds - retryTimeoutMilliseconds -
        CHANGE_READ_MILLISECONDS - ANSWER_MARGIN_MILLISECONDS,
      MINIMUM_POLL_INTERVAL_MILLISECONDS,
    ),
  );
  const left = bounds.contactMilliseconds - bounds.sendMilliseconds -
    pollIntervalMilliseconds - callTimeoutMilliseconds -
    bounds.backoffMilliseconds -
    ANSWER_MARGIN_MILLISECONDS;
  const wait = Math.min(
    left,
    pollIntervalMilliseconds,
    MAXIMUM_WAIT_MILLISECONDS,
  );
  return {
    pollIntervalMilliseconds,
    waitMilliseconds: Math.max(wait, MINIMUM_WAIT_MILLISECONDS),
    callTimeoutMilliseconds,
    retryTimeoutMilliseconds,
    maximumAnswerIntervalMilliseconds: pollIntervalMilliseconds,
  };
}

/**
 * Returns the longest time until a change of the configuration is applied
 * although connections to the store go silent, milliseconds: the list's next
 * answer is lost, and that of the retry if they go silent again meanwhile.
 */
export function computeApplyMilliseconds(timing: ListTiming): number {
  return timing.maximumAnswerIntervalMilliseconds +
    timing.callTimeoutMilliseconds + timing.retryTimeoutMilliseconds +
    CHANGE_READ_MILLISECONDS +
    ANSWER_MARGIN_MILLISECONDS;
}
