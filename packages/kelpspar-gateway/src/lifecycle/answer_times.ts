/** Answers after which the longest of the older ones is forgotten. */
const WINDOW_ANSWERS = 100;
/** Answers of a route from which its times are known. */
const MINIMUM_ANSWERS = 4;
/** Added to the longest time: for delays within the daemon, */
const MINIMUM_MARGIN_MILLISECONDS = 100;
/** and this share of its distance to the mean, for longer answers. */
const SPREAD_SHARE = 0.25;
/** Weight of the newest answer in the mean. */
const SMOOTHING_FACTOR = 0.05;
/** Routes that are remembered; the oldest are forgotten first. */
const MAXIMUM_ROUTES = 1_000;

/** Times of a route's answers, milliseconds. */
interface RouteTimes {
  readonly answers: number;
  readonly meanMilliseconds: number;
  readonly longestMilliseconds: number;
  /** Longest of the window before; undefined without one. */
  readonly formerLongestMilliseconds: number | undefined;
}

/**
 * How long the answers of each route take, from the arrival of the request
 * until the caller's connection has taken the last byte.
 */
export class AnswerTimes {
  readonly #routes = new Map<string, RouteTimes>();

  /** Records a whole answer. */
  record(route: string, milliseconds: number): void {
    this.#routes.set(route, addAnswer(this.#routes.get(route), milliseconds));
    if (this.#routes.size <= MAXIMUM_ROUTES) return;
    const [oldest] = this.#routes.keys();
    if (oldest !== undefined) this.#routes.delete(oldest);
  }

  /**
   * Milliseconds within which an answer of the route ends with near certainty;
   * undefined while too few are known.
   */
  bound(route: string): number | undefined {
    const times = this.#routes.get(route);
    if (times === undefined) return undefined;
    const { answers, meanMilliseconds, formerLongestMilliseconds } = times;
    const isKnown = answers >= MINIMUM_ANSWERS ||
      formerLongestMilliseconds !== undefined;
    if (!isKnown) return undefined;
    const longest = Math.max(
      times.longestMilliseconds,
      formerLongestMilliseconds ?? 0,
    );
    return longest + Math.max(
      MINIMUM_MARGIN_MILLISECONDS,
      (longest - meanMilliseconds) * SPREAD_SHARE,
    );
  }
}

function addAnswer(
  known: RouteTimes | undefined,
  milliseconds: number,
): RouteTimes {
  if (known === undefined) {
    return {
      answers: 1,
      meanMilliseconds: milliseconds,
      longestMilliseconds: milliseconds,
      formerLongestMilliseconds: undefined,
    };
  }
  const meanMilliseconds = known.meanMilliseconds +
    SMOOTHING_FACTOR * (milliseconds - known.meanMilliseconds);
  if (known.answers >= WINDOW_ANSWERS) {
    return {
      answers: 1,
      meanMilliseconds,
      longestMilliseconds: milliseconds,
      formerLongestMilliseconds: known.longestMilliseconds,
    };
  }
  return {
    ...known,
    answers: known.answers + 1,
    meanMilliseconds,
    longestMilliseconds: Math.max(known.longestMilliseconds, milliseconds),
  };
}
