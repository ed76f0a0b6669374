/** From what the times of reading the list of endpoints are worked out. */
export interface ListBounds {
  /** After which a leaving endpoint must get no more requests, milliseconds. */
  readonly drainMilliseconds: number;
  /** From the end of a trouble until bounds hold again, milliseconds. */
  readonly contactMilliseconds: number;
  /** From the choice of an endpoint until a request is there, milliseconds. */
  readonly sendMilliseconds: number;
  /** Longest wait after a first call that failed, milliseconds. */
  readonly pauseMilliseconds: number;
}

/** When calls for the list begin and end. */
export interface ListTimes {
  /** Least time between the starts of two calls, milliseconds. */
  readonly paceMilliseconds: number;
  /** How long a call waits for a change, milliseconds. */
  readonly waitMilliseconds: number;
  /** How long a call may take beside that, milliseconds. */
  readonly limitMilliseconds: number;
}

/**
 * Each call is priced, and while endpoints come and go each answers at once. A
 * leaving endpoint must get nothing after its bound; this share of it leaves
 * time for the call and for requests that wait for a connection.
 */
const PACE_SHARE = 0.55;
/** A store that is slow still answers within it, milliseconds. */
const LIMIT_MILLISECONDS = 600;
const LONGEST_WAIT_MILLISECONDS = 1_000;
const LEAST_WAIT_MILLISECONDS = 100;
/** Time of an answer and of timers that fire late, milliseconds. */
const ANSWER_MILLISECONDS = 100;

/**
 * Works out when the list is read, so that all waits together end before the
 * bounds hold again.
 *
 * Load: connections fall silent for good just after a call; the next one begins
 * a pace later, waits for a change that it will not hear of, and then its
 * limit; the one after it is answered. With a wait and a limit that are chosen
 * alone that takes longer than until bounds hold again, and endpoints that have
 * left meanwhile get requests.
 */
export function listTimes(bounds: ListBounds): ListTimes {
  const paceMilliseconds = bounds.drainMilliseconds * PACE_SHARE;
  const left = bounds.contactMilliseconds - bounds.sendMilliseconds -
    paceMilliseconds - LIMIT_MILLISECONDS - bounds.pauseMilliseconds -
    ANSWER_MILLISECONDS;
  const wait = Math.min(left, LONGEST_WAIT_MILLISECONDS);
  return {
    paceMilliseconds,
    waitMilliseconds: Math.max(wait, LEAST_WAIT_MILLISECONDS),
    limitMilliseconds: LIMIT_MILLISECONDS,
  };
}
