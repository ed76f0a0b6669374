/** One stage of a chain as admission sees it. */
export interface StageOutlook {
  /** Time until all that was admitted before is made, milliseconds. */
  readonly backlog: number;
  /** The same for what can still be on time; late work waits behind it. */
  readonly onTimeBacklog: number;
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
  /** The caller was refused before and comes back. */
  readonly hasReturned: boolean;
  /** 0 is the most urgent. */
  readonly priority: number;
}

/** A chain that is served. */
export interface AdmittedChain {
  readonly type: "admitted";
  readonly expected: number;
  /** It takes only what work that can be on time leaves. */
  readonly isServedLate: boolean;
}

/** Serve it, or send it away with the time at which there is room. */
export type ChainAdmission =
  | AdmittedChain
  | {
    readonly type: "refused";
    readonly expected: number;
    readonly retryAfterMilliseconds: number;
  };

/**
 * How far past its objective a chain may be expected to end and still start:
 * estimates err by about a call, and a refusal is certain loss.
 */
const OBJECTIVE_SLACK = 1.15;
/**
 * Share of the remaining time within which a late chain must be expected to
 * end: it works for a smaller credit and must not be cut by its deadline.
 */
const LATE_SHARE = 0.5;
/** Each step of priority has so much less of the objective for waiting. */
const PRIORITY_WAIT_SHARE = 0.12;
/** Shortest and longest time after which a refused caller may come back. */
const LEAST_RETRY_MILLISECONDS = 250;
const LONGEST_RETRY_MILLISECONDS = 4_000;

/**
 * Decides at arrival from the whole chain. Answers bursts of 1.7 to 2.6 times
 * the usual load with endpoints slow or dead: work that would be late anyway
 * fills queues and makes the work behind it late as well.
 *
 * A caller that comes back and can't be on time any more is served late, if
 * that is well before its deadline: it waits behind all that can be on time,
 * and takes only what those leave. Refused by its objective once more, it had
 * come back in vain while calls went out half empty after the burst.
 */
export function admitChain(options: AdmitChainOptions): ChainAdmission {
  const expected = expectedTime(toOnTimeOptions(options));
  const limit = onTimeLimit(options);
  const isLate = options.objective <= leastTime(options);
  if (!isLate && expected <= limit) {
    return { type: "admitted", expected, isServedLate: false };
  }

  const lateExpected = expectedTime(options);
  const lateLimit = options.remaining * LATE_SHARE;
  const mayBeLate = isLate || options.hasReturned;
  if (mayBeLate && lateExpected <= lateLimit) {
    return { type: "admitted", expected: lateExpected, isServedLate: true };
  }
  const wait = mayBeLate ? lateExpected - lateLimit : expected - limit;
  return {
    type: "refused",
    expected: mayBeLate ? lateExpected : expected,
    retryAfterMilliseconds: Math.min(
      Math.max(wait, LEAST_RETRY_MILLISECONDS),
      LONGEST_RETRY_MILLISECONDS,
    ),
  };
}

/** As it is for work that goes before all that is late. */
function toOnTimeOptions(options: AdmitChainOptions): AdmitChainOptions {
  const stages = options.stages.map((stage) => ({
    ...stage,
    backlog: stage.onTimeBacklog,
  }));
  return { ...options, stages };
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

function onTimeLimit({ objective, priority }: AdmitChainOptions): number {
  const share = Math.max(0.4, OBJECTIVE_SLACK - PRIORITY_WAIT_SHARE * priority);
  return Math.max(objective * share, 0);
}

/** What the chain takes when nothing waits anywhere. */
function leastTime(options: AdmitChainOptions): number {
  const stages = options.stages.map((stage) => ({ ...stage, backlog: 0 }));
  return expectedTime({ stages, tail: options.tail });
}
