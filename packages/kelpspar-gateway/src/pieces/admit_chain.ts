/** Expected times of one stage of a chain, used for admission. */
export interface StageForecast {
  /** Time until all pieces admitted earlier are made, milliseconds. */
  readonly backlog: number;
  /** Time of the stage's own calls, milliseconds. */
  readonly work: number;
  readonly after: readonly number[];
  /** Time between two free endpoints of the stage, milliseconds. */
  readonly turn: number;
}

/** Inputs of `admitChain`; times in milliseconds. */
export interface AdmitChainOptions {
  readonly stages: readonly StageForecast[];
  /** Time of the request itself until its first event. */
  readonly tail: number;
  /** Time until the answer is late; negative if it already is. */
  readonly objective: number;
  /** Time until the caller's deadline. */
  readonly remaining: number;
  /** 0 is the most urgent; whole steps rank accounts, tenths rank routes. */
  readonly priority: number;
  /** How late the coordinator handles events. */
  readonly loopDelay: number;
  /** Its class gets less than half of the on-time share of all. */
  readonly isUnderserved: boolean;
}

/** What limits the time with which a chain is admitted. */
export type AdmissionLimitCause =
  | "objective"
  /** Part of the wait is left to more urgent work. */
  | "urgent_work"
  /** The share of the wait that is left to each chain. */
  | "minimum_wait"
  /** It must end before its deadline; a late chain well before it. */
  | "deadline"
  /** The chain is late and the coordinator is busy. */
  | "loop_delay";

/** The longest expected time with which a chain is admitted. */
export interface AdmissionLimit {
  readonly milliseconds: number;
  readonly cause: AdmissionLimitCause;
}

/** Admits a chain, or refuses it with a time after which to retry. */
export type ChainAdmission =
  & { readonly expected: number; readonly limit: AdmissionLimit }
  & (
    | { readonly type: "admitted" }
    | { readonly type: "refused"; readonly retryAfterMilliseconds: number }
  );

/** Share of the permitted wait lost per whole priority step (account). */
const ACCOUNT_WAIT_SHARE = 0.05;
/**
 * Largest share of the permitted wait lost per priority step of a route (a
 * tenth). Sheds less urgent work before the queue is full, which leaves slots
 * for urgent work; a chain that waits in a queue up to its objective ends late
 * about half the time. Applies to the wait, not to the whole objective, which
 * would leave nothing for a long chain: it would never be admitted.
 */
const MAX_ROUTE_WAIT_SHARE = 0.25;
/** Share of the permitted wait left for the least urgent chains. */
const MIN_WAIT_SHARE = 0.4;
/**
 * Share of the remaining time within which a late chain must be expected to
 * end: it earns less credit and must not be cut off by its deadline.
 */
const LATE_SHARE = 0.5;
/**
 * Delay of the coordinator from which late chains are refused: they take
 * processor time from those that can be on time.
 */
const MAX_LATE_LOOP_DELAY_MILLISECONDS = 50;
/** Events of a chain besides the ends of its stages: its arrival and answer. */
const CHAIN_EVENTS = 2;
/** Bounds of the retry delay sent to refused callers. */
const MIN_RETRY_MILLISECONDS = 250;
const MAX_RETRY_MILLISECONDS = 4_000;

/**
 * Admits or refuses a chain at arrival, based on all its stages. In bursts of
 * 1.7 to 2.6 times the usual load with endpoints slow or dead, work that would
 * be late anyway fills queues and makes the work behind it late as well.
 */
export function admitChain(options: AdmitChainOptions): ChainAdmission {
  const expected = expectedTime(options) + loopWait(options);
  const limit = withinDeadline(timeLimitOf(options), options.remaining);
  const excess = expected - limit.milliseconds;
  if (excess <= 0) return { type: "admitted", expected, limit };
  const wait = Math.max(excess, MIN_RETRY_MILLISECONDS);
  const retryAfterMilliseconds = Math.min(wait, MAX_RETRY_MILLISECONDS);
  return { type: "refused", expected, limit, retryAfterMilliseconds };
}

/** A chain that can't end before its deadline would be work for nothing. */
function withinDeadline(
  limit: AdmissionLimit,
  remaining: number,
): AdmissionLimit {
  return limit.milliseconds <= remaining
    ? limit
    : { milliseconds: remaining, cause: "deadline" };
}

/** Time of the longest path through the stages plus the request itself. */
export function expectedTime(
  options: Pick<AdmitChainOptions, "stages" | "tail">,
): number {
  const ends: number[] = [];
  for (const { backlog, work, after } of options.stages) {
    const start = Math.max(0, ...after.map((stage) => ends[stage] ?? 0));
    ends.push(Math.max(start, backlog) + work);
  }
  return Math.max(0, ...ends) + options.tail;
}

/** Time that the events of a chain wait for the coordinator's event loop. */
function loopWait({ stages, loopDelay }: AdmitChainOptions): number {
  const depths: number[] = [];
  for (const { work, after } of stages) {
    const before = Math.max(0, ...after.map((stage) => depths[stage] ?? 0));
    depths.push(before + (work > 0 ? 1 : 0));
  }
  return (Math.max(0, ...depths) + CHAIN_EVENTS) * loopDelay;
}

/**
 * The longest expected time with which a chain is admitted. Per priority step of
 * a route, a quarter of the wait is left for urgent work that arrives next. A
 * class that is underserved leaves only one turn at each stage, the wait for the
 * next free endpoint. Answers a load with ten endpoints per stage, where a
 * quarter is four turns, and the least urgent class gets a fifth of its requests
 * on time while it could have more and urgent work has slots.
 */
function timeLimitOf(options: AdmitChainOptions): AdmissionLimit {
  const { objective, remaining, priority } = options;
  const level = Math.floor(priority);
  const routeSteps = (priority - level) * 10;
  const least = unloadedTime(options);
  if (objective <= least) {
    const isDelayed = options.loopDelay > MAX_LATE_LOOP_DELAY_MILLISECONDS;
    return isDelayed
      ? { milliseconds: 0, cause: "loop_delay" }
      : { milliseconds: remaining * LATE_SHARE, cause: "deadline" };
  }
  const wait = objective - least;
  const turns = options.stages.reduce((sum, { turn }) => sum + turn, 0);
  const quarter = wait * MAX_ROUTE_WAIT_SHARE;
  const perStep = options.isUnderserved ? Math.min(turns, quarter) : quarter;
  const reserved = perStep * routeSteps;
  const allowed = wait * (1 - ACCOUNT_WAIT_SHARE * level) - reserved;
  const minimum = wait * MIN_WAIT_SHARE;
  if (allowed < minimum) {
    return { milliseconds: least + minimum, cause: "minimum_wait" };
  }
  const cause = allowed < wait ? "urgent_work" : "objective";
  return { milliseconds: least + allowed, cause };
}

/** Time that the chain takes with empty queues. */
function unloadedTime(options: AdmitChainOptions): number {
  const stages = options.stages.map((stage) => ({ ...stage, backlog: 0 }));
  return expectedTime({ stages, tail: options.tail });
}
