import type { RouteTimes } from "./route_times.ts";

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
interface RouteWindow {
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
  readonly #routes = new Map<string, RouteWindow>();
  /** Times that another daemon has seen. */
  #otherTimes: ReadonlyMap<string, RouteTimes> = new Map();

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
    const known = [this.#find(route), this.#otherTimes.get(route)].filter((
      times,
    ) => times !== undefined);
    if (known.length === 0) return undefined;
    return Math.max(
      ...known.map(({ longestMilliseconds, meanMilliseconds }) =>
        longestMilliseconds + Math.max(
          MINIMUM_MARGIN_MILLISECONDS,
          (longestMilliseconds - meanMilliseconds) * SPREAD_SHARE,
        )
      ),
    );
  }

  /** The times that this daemon has seen itself. */
  page(): readonly RouteTimes[] {
    return [...this.#routes.keys()].flatMap((route) => this.#find(route) ?? []);
  }

  /** Takes over the times of another daemon, instead of earlier ones. */
  merge(page: readonly RouteTimes[]): void {
    this.#otherTimes = new Map(page.map((times) => [times.route, times]));
  }

  #find(route: string): RouteTimes | undefined {
    const window = this.#routes.get(route);
    if (window === undefined) return undefined;
    const { answers, meanMilliseconds, formerLongestMilliseconds } = window;
    const isKnown = answers >= MINIMUM_ANSWERS ||
      formerLongestMilliseconds !== undefined;
    if (!isKnown) return undefined;
    const longestMilliseconds = Math.max(
      window.longestMilliseconds,
      formerLongestMilliseconds ?? 0,
    );
    return { route, meanMilliseconds, longestMilliseconds };
  }
}

function addAnswer(
  known: RouteWindow | undefined,
  milliseconds: number,
): RouteWindow {
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
