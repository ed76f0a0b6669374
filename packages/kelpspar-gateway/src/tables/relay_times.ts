/** From what the times of passing the list on are worked out. */
export interface RelayBounds {
  /** After which a leaving endpoint must get no more requests, milliseconds. */
  readonly drainMilliseconds: number;
  /** From the choice of an endpoint until a request is there, milliseconds. */
  readonly sendMilliseconds: number;
}

/** When readers call, and how long a daemon waits for what they pass on. */
export interface RelayTimes {
  /** Least time between the starts of two calls of a reader, milliseconds. */
  readonly paceMilliseconds: number;
  /** How long a reader's call waits for a change, milliseconds. */
  readonly waitMilliseconds: number;
  /** How long a reader's call may take beside that, milliseconds. */
  readonly limitMilliseconds: number;
  /** After this a reader answers although nothing changed, milliseconds. */
  readonly followMilliseconds: number;
  /** How long its answer may take beside that, milliseconds. */
  readonly followLimitMilliseconds: number;
  /** A daemon that lost its source reads for itself within this, ms. */
  readonly spreadMilliseconds: number;
}

/** A call to the store, milliseconds; a slow one answers within it too. */
const LIMIT_MILLISECONDS = 600;
/** Between daemons, with a machine that is busy, milliseconds. */
const FOLLOW_LIMIT_MILLISECONDS = 400;
/** Keeps a whole fleet that lost its readers from calling at once, ms. */
const SPREAD_MILLISECONDS = 200;
/** Time of answers and of timers that fire late, milliseconds. */
const ANSWER_MILLISECONDS = 150;
/** A shorter cycle of a reader saves no calls, milliseconds. */
const LEAST_CYCLE_MILLISECONDS = 500;
/**
 * How long a reader's call waits for a change, milliseconds. Heartbeats of
 * endpoints answer it at once as a rule, so that the pace alone says how many
 * calls are made.
 */
const WAIT_MILLISECONDS = 200;

/**
 * Works out when readers call and followers give them up; undefined when the
 * bound leaves no time for a second hop, so that each daemon reads for itself.
 *
 * Load: a reader's calls vanish just after an answer, or the reader itself
 * stands still, and an endpoint leaves at that moment. The follower must notice
 * and read for itself before the bound of leaving is over:
 *
 * - the reader's pause, its next call's wait and limit, then the follower's
 *   own call; or
 * - the follower's wait and limit at the reader, then its own call.
 */
export function relayTimes(bounds: RelayBounds): RelayTimes | undefined {
  const ownCall = SPREAD_MILLISECONDS + LIMIT_MILLISECONDS;
  const left = bounds.drainMilliseconds - bounds.sendMilliseconds - ownCall -
    ANSWER_MILLISECONDS;
  const cycle = left - LIMIT_MILLISECONDS;
  if (cycle < LEAST_CYCLE_MILLISECONDS) return undefined;
  return {
    paceMilliseconds: cycle - WAIT_MILLISECONDS,
    waitMilliseconds: WAIT_MILLISECONDS,
    limitMilliseconds: LIMIT_MILLISECONDS,
    followMilliseconds: left - FOLLOW_LIMIT_MILLISECONDS,
    followLimitMilliseconds: FOLLOW_LIMIT_MILLISECONDS,
    spreadMilliseconds: SPREAD_MILLISECONDS,
  };
}
