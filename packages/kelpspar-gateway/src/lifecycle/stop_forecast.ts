/** Time until a refused request reaches another daemon, milliseconds. */
const REDIRECT_MILLISECONDS = 100;
/** A starting daemon accepts callers after about this time. */
const START_MILLISECONDS = 500;
/** Time from the end of a process until its successor accepts callers. */
const RESTART_MILLISECONDS = 1_500;
/** A daemon must last this much longer than an answer to be worth a retry. */
const REDIRECT_MARGIN_MILLISECONDS = 500;

/** What a stopping daemon knows of itself and others, milliseconds. */
export interface StopForecastOptions {
  /** Whether another daemon serves callers. */
  readonly isOtherServing: boolean;
  /** Whether another daemon is starting. */
  readonly isOtherStarting: boolean;
  /** Time until each of the other stopping daemons ends at the latest. */
  readonly othersEndIn: readonly number[];
  /** Time until this daemon ends, as far as it can tell. */
  readonly endsIn: number;
  /** Time that the answer takes at most. */
  readonly neededMilliseconds: number;
}

/** Milliseconds after which another daemon probably accepts a request. */
export function forecastRetry(options: StopForecastOptions): number {
  const { othersEndIn, neededMilliseconds } = options;
  const isAcceptedElsewhere = options.isOtherServing ||
    othersEndIn.some((endsIn) =>
      endsIn >= neededMilliseconds + REDIRECT_MARGIN_MILLISECONDS
    );
  if (isAcceptedElsewhere) return REDIRECT_MILLISECONDS;
  if (options.isOtherStarting) return START_MILLISECONDS;
  return Math.min(options.endsIn, ...othersEndIn) + RESTART_MILLISECONDS;
}
