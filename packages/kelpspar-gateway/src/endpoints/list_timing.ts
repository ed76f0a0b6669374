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
}

/** Timing of the calls that read the list. */
export interface ListTiming {
  /** Minimum time between the starts of two calls. */
  readonly pollIntervalMilliseconds: number;
  /** How long a call waits for a change (long poll). */
  readonly waitMilliseconds: number;
  /** Timeout of a call beyond `waitMilliseconds`. */
  readonly callTimeoutMilliseconds: number;
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
/** Margin for the answer itself and for timers that fire late. */
const ANSWER_MARGIN_MILLISECONDS = 100;

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
  const pollIntervalMilliseconds = bounds.drainMilliseconds * INTERVAL_SHARE;
  const left = bounds.contactMilliseconds - bounds.sendMilliseconds -
    pollIntervalMilliseconds - CALL_TIMEOUT_MILLISECONDS -
    bounds.backoffMilliseconds -
    ANSWER_MARGIN_MILLISECONDS;
  const wait = Math.min(left, MAXIMUM_WAIT_MILLISECONDS);
  return {
    pollIntervalMilliseconds,
    waitMilliseconds: Math.max(wait, MINIMUM_WAIT_MILLISECONDS),
    callTimeoutMilliseconds: CALL_TIMEOUT_MILLISECONDS,
  };
}
