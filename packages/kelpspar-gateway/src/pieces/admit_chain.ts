/** One stage of a chain as admission sees it. */
export interface StageOutlook {
  /** Time until all that was admitted before is made, milliseconds. */
  readonly backlog: number;
  /** Time of the calls that the stage takes, milliseconds. */
  readonly work: number;
  readonly after: readonly number[];
}

/** What admission decides from; milliseconds. */
export interface AdmitChainOptions {
  readonly stages: readonly StageOutlook[];
  /** What the request itself takes until its first event. */
  readonly tail: number;
  /** Time until the answer is late; below 0 when it is already. */
  readonly objective: number;
  /** Time until the caller gives up. */
  readonly remaining: number;
  /** 0 is the most urgent; whole steps are accounts', tenths routes'. */
  readonly priority: number;
}

/** Serve it, or send it away with the time at which there is room. */
export type ChainAdmission =
  | { readonly type: "admitted"; readonly expected: number }
  | {
    readonly type: "refused";
    readonly expected: number;
    readonly retryAfterMilliseconds: number;
  };

/** A whole step of priority, an account's, leaves so much less for waiting. */
const ACCOUNT_WAIT_SHARE = 0.05;
/**
 * Each step of a route's priority, a tenth, leaves so much less of the time
 * that a chain may wait. Work that may wait is sent away before the queue is
 * full, so that the urgent finds places; what waits in a queue up to its
 * objective ends late as often as not. Taken from the waiting and not from the
 * whole objective, since a long chain would have nothing left and never be
 * admitted.
 */
const ROUTE_WAIT_SHARE = 0.25;
/** Share of the waiting that the least urgent has. */
const LEAST_SHARE = 0.4;
/**
 * Share of the remaining time within which a late chain must be expected to
 * end: it works for a smaller credit and must not be cut by its deadline.
 */
const LATE_SHARE = 0.5;
/** Shortest and longest time after which a refused caller may come back. */
const LEAST_RETRY_MILLISECONDS = 250;
const LONGEST_RETRY_MILLISECONDS = 4_000;

/**
 * Decides at arrival from the whole chain. Answers bursts of 1.7 to 2.6 times
 * the usual load with endpoints slow or dead: work that would be late anyway
 * fills queues and makes the work behind it late as well.
 */
export function admitChain(options: AdmitChainOptions): ChainAdmission {
  const expected = expectedTime(options);
  const limit = limitOf(options);
  if (expected <= limit) return { type: "admitted", expected };
  const wait = Math.max(expected - limit, LEAST_RETRY_MILLISECONDS);
  const retryAfterMilliseconds = Math.min(wait, LONGEST_RETRY_MILLISECONDS);
  return { type: "refused", expected, retryAfterMilliseconds };
}

/** Length of the longest path through the stages, and the request's own. */
export function expectedTime(
  options: Pick<AdmitChainOptions, "stages" | "tail">,
): number {
  const ends: number[] = [];
  for (const { backlog, work, after } of options.stages) {
    const start = Math.max(0, ...after.map((one) => ends[one] ?? 0));
    ends.push(Math.max(start, backlog) + work);
  }
  return Math.max(0, ...ends) + options.tail;
}

function limitOf(options: AdmitChainOptions): number {
  const { objective, remaining, priority } = options;
  const level = Math.floor(priority);
  const routeSteps = (priority - level) * 10;
  const share = Math.max(
    LEAST_SHARE,
    1 - ACCOUNT_WAIT_SHARE * level - ROUTE_WAIT_SHARE * routeSteps,
  );
  const least = leastTime(options);
  if (objective <= least) return remaining * LATE_SHARE;
  return least + (objective - least) * share;
}

/** What the chain takes when nothing waits anywhere. */
function leastTime(options: AdmitChainOptions): number {
  const stages = options.stages.map((stage) => ({ ...stage, backlog: 0 }));
  return expectedTime({ stages, tail: options.tail });
}
