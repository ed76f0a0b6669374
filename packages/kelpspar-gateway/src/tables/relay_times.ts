/** Limits from which the relay times are computed. */
export interface RelayBounds {
  /** Time after which a leaving endpoint must get no requests, milliseconds. */
  readonly drainMilliseconds: number;
  /** From the choice of an endpoint until the request arrives, milliseconds. */
  readonly sendMilliseconds: number;
  /** Time within which a configuration must be applied, if limited, ms. */
  readonly applyMilliseconds?: number | undefined;
}

/** How often readers poll, and how long followers wait for their answers. */
export interface RelayTimes {
  /** Least time between the starts of two reader calls, milliseconds. */
  readonly pollIntervalMilliseconds: number;
  /** How long a reader's call waits for a change, milliseconds. */
  readonly waitMilliseconds: number;
  /** Timeout of a reader's call, in addition to that wait, milliseconds. */
  readonly callTimeoutMilliseconds: number;
  /** Timeout of a reader's first call after one that timed out, ms. */
  readonly retryTimeoutMilliseconds: number;
  /** Longest time between two answers to a reader, milliseconds. */
  readonly maximumAnswerIntervalMilliseconds: number;
  /** Long-poll wait: a reader then answers without changes, milliseconds. */
  readonly followWaitMilliseconds: number;
  /** Timeout of a follow call, in addition to that wait, milliseconds. */
  readonly followTimeoutMilliseconds: number;
  /** A daemon that lost its source reads the store itself within this, ms. */
  readonly fallbackJitterMilliseconds: number;
}

/** Timeout of a store call, milliseconds; a slow store still answers in it. */
const STORE_CALL_TIMEOUT_MILLISECONDS = 600;
const RETRY_TIMEOUT_MILLISECONDS = 150;
/** Timeout of a call between daemons on a busy machine, milliseconds. */
const FOLLOW_TIMEOUT_MILLISECONDS = 400;
/** Keeps a fleet that lost its readers from calling all at once, ms. */
const FALLBACK_JITTER_MILLISECONDS = 200;
/** Margin for handling answers and for late timers, milliseconds. */
const PROCESSING_MARGIN_MILLISECONDS = 150;
/** A shorter reader cycle saves no calls, milliseconds. */
const MINIMUM_CYCLE_MILLISECONDS = 500;
/**
 * How long a reader's call waits for a change, milliseconds. Endpoint
 * heartbeats usually complete it at once, so that the pace alone determines the
 * number of calls.
 */
const READER_WAIT_MILLISECONDS = 200;

/**
 * Computes when readers poll and when followers time out. Undefined when the
 * limits leave no time for a second hop; each daemon then reads for
 * itself.
 *
 * Worst case: an endpoint leaves just as a reader loses its connection to the
 * store after an answer, or just as the reader itself stalls. The follower must
 * notice and read the store itself before the drain limit expires:
 *
 * - the reader's pause, its next call's wait and timeout, then the follower's
 *   own call; or
 * - the follower's wait and timeout at the reader, then its own call.
 */
export function relayTimes(bounds: RelayBounds): RelayTimes | undefined {
  const ownCall = FALLBACK_JITTER_MILLISECONDS +
    STORE_CALL_TIMEOUT_MILLISECONDS;
  const bound = Math.min(
    bounds.drainMilliseconds - bounds.sendMilliseconds,
    bounds.applyMilliseconds ?? Number.POSITIVE_INFINITY,
  );
  const remaining = bound - ownCall - PROCESSING_MARGIN_MILLISECONDS;
  const cycle = remaining - STORE_CALL_TIMEOUT_MILLISECONDS;
  if (cycle < MINIMUM_CYCLE_MILLISECONDS) return undefined;
  return {
    pollIntervalMilliseconds: cycle - READER_WAIT_MILLISECONDS,
    maximumAnswerIntervalMilliseconds: cycle - READER_WAIT_MILLISECONDS,
    waitMilliseconds: READER_WAIT_MILLISECONDS,
    callTimeoutMilliseconds: STORE_CALL_TIMEOUT_MILLISECONDS,
    retryTimeoutMilliseconds: RETRY_TIMEOUT_MILLISECONDS,
    followWaitMilliseconds: remaining - FOLLOW_TIMEOUT_MILLISECONDS,
    followTimeoutMilliseconds: FOLLOW_TIMEOUT_MILLISECONDS,
    fallbackJitterMilliseconds: FALLBACK_JITTER_MILLISECONDS,
  };
}
