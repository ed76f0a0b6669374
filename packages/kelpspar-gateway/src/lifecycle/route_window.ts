/** Answers after which the longest of the older ones is forgotten. */
const WINDOW_ANSWERS = 100;
/** Weight of the newest answer in the mean. */
const SMOOTHING_FACTOR = 0.05;

/** The longest answer of a window. */
interface LongestAnswer {
  readonly milliseconds: number;
  /** When it ended; monotonic milliseconds. */
  readonly at: number;
}

/** Times of a route's last answers. */
export interface RouteWindow {
  /** Number of answers in the current window. */
  readonly answers: number;
  readonly meanMilliseconds: number;
  /** When the first request of the route arrived; monotonic milliseconds. */
  readonly startedAt: number;
  readonly longest: LongestAnswer;
  /** Longest of the window before; undefined without one. */
  readonly formerLongest: LongestAnswer | undefined;
}

/** Returns the window with one more answer. */
export function addAnswer(
  known: RouteWindow | undefined,
  milliseconds: number,
  at: number,
): RouteWindow {
  const answer = { milliseconds, at };
  if (known === undefined) {
    return {
      answers: 1,
      meanMilliseconds: milliseconds,
      startedAt: at - milliseconds,
      longest: answer,
      formerLongest: undefined,
    };
  }
  const meanMilliseconds = known.meanMilliseconds +
    SMOOTHING_FACTOR * (milliseconds - known.meanMilliseconds);
  if (known.answers >= WINDOW_ANSWERS) {
    return {
      ...known,
      answers: 1,
      meanMilliseconds,
      longest: answer,
      formerLongest: known.longest,
    };
  }
  return {
    ...known,
    answers: known.answers + 1,
    meanMilliseconds,
    longest: longerOf(known.longest, answer),
  };
}

/** The longest answer of both windows. */
export function longestOf(window: RouteWindow): LongestAnswer {
  const { longest, formerLongest } = window;
  return formerLongest === undefined
    ? longest
    : longerOf(longest, formerLongest);
}

/** Number of answers in both windows. */
export function answersOf({ answers, formerLongest }: RouteWindow): number {
  return answers + (formerLongest === undefined ? 0 : WINDOW_ANSWERS);
}

function longerOf(left: LongestAnswer, right: LongestAnswer): LongestAnswer {
  return right.milliseconds > left.milliseconds ? right : left;
}
