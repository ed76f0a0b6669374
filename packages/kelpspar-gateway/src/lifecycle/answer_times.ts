import type { TimerService } from "kelpspar-shared";
import type { RouteTimes } from "./route_times.ts";
import type { RouteWindow } from "./route_window.ts";
import { addAnswer, answersOf, longestOf } from "./route_window.ts";

/** Answers of a route from which its times are known. */
const MINIMUM_ANSWERS = 4;
/** Added to the longest time: for delays within the daemon, */
const MINIMUM_MARGIN_MILLISECONDS = 100;
/** and this share of its distance to the mean, for longer answers, */
const SPREAD_SHARE = 0.25;
/** which are the more likely the fewer answers are known. */
const SPREAD_ANSWERS = 20;
/**
 * Uneven answers must have been observed for longer than they take, since the
 * short ones end first. Multiplied with the spread as a share of the longest.
 */
const OBSERVED_SPREAD_FACTOR = 6;
/** Age from which the longest answer of another daemon is forgotten, ms. */
const EXPIRY_MILLISECONDS = 120_000;
/** Routes that are remembered; the oldest are forgotten first. */
const MAXIMUM_ROUTES = 1_000;

/** Times that another daemon told. */
interface ToldTimes extends Omit<RouteTimes, "ageMilliseconds"> {
  /** When the longest answer ended; monotonic milliseconds. */
  readonly at: number;
}

/**
 * How long the answers of each route take, until the caller's connection has
 * taken the last byte. What daemons tell each other outlasts their restarts.
 */
export class AnswerTimes {
  readonly #timer: Pick<TimerService, "now">;
  readonly #windows = new Map<string, RouteWindow>();
  readonly #told = new Map<string, ToldTimes>();

  constructor(timer: Pick<TimerService, "now">) {
    this.#timer = timer;
  }

  /** Records a whole answer. */
  record(route: string, milliseconds: number): void {
    const window = this.#windows.get(route);
    const now = this.#timer.now();
    this.#windows.set(route, addAnswer(window, milliseconds, now));
    removeOldest(this.#windows);
  }

  /**
   * Milliseconds within which an answer of the route ends with near certainty;
   * undefined while too few are known.
   */
  bound(route: string): number | undefined {
    const times = this.#find(route);
    if (times === undefined || times.answers < MINIMUM_ANSWERS) {
      return undefined;
    }
    const { longestMilliseconds } = times;
    const bound = withMargin(times);
    const required = bound *
      (1 + OBSERVED_SPREAD_FACTOR * spreadOf(times) /
          Math.max(1, longestMilliseconds));
    return times.observedMilliseconds >= required ? bound : undefined;
  }

  /**
   * Milliseconds that the longest known answer of the route and a margin take,
   * however few are known; undefined without any.
   */
  estimate(route: string): number | undefined {
    const times = this.#find(route);
    return times === undefined ? undefined : withMargin(times);
  }

  /** The times that are known here. */
  page(): readonly RouteTimes[] {
    const routes = new Set([...this.#windows.keys(), ...this.#told.keys()]);
    return [...routes].flatMap((route) => this.#find(route) ?? []);
  }

  /** Takes over the times of another daemon. */
  merge(page: readonly RouteTimes[]): void {
    const now = this.#timer.now();
    for (const { ageMilliseconds, ...times } of page) {
      const at = now - ageMilliseconds;
      const known = this.#told.get(times.route);
      const isReplaced = known === undefined ||
        now - known.at > EXPIRY_MILLISECONDS ||
        times.longestMilliseconds > known.longestMilliseconds;
      const observedMilliseconds = Math.max(
        times.observedMilliseconds,
        known?.observedMilliseconds ?? 0,
      );
      const longer = isReplaced ? { ...times, at } : known;
      this.#told.set(times.route, { ...longer, observedMilliseconds });
    }
    removeOldest(this.#told);
  }

  /** The times of a route, as seen here and as told by others. */
  #find(route: string): RouteTimes | undefined {
    const now = this.#timer.now();
    const window = this.#windows.get(route);
    const told = this.#told.get(route);
    if (window === undefined) {
      return told === undefined ? undefined : toTimes(told, now);
    }
    const longest = longestOf(window);
    const own = {
      route,
      answers: answersOf(window),
      meanMilliseconds: window.meanMilliseconds,
      longestMilliseconds: longest.milliseconds,
      observedMilliseconds: now - window.startedAt,
      at: longest.at,
    };
    if (told === undefined || now - told.at > EXPIRY_MILLISECONDS) {
      return toTimes(own, now);
    }
    const longer = told.longestMilliseconds > own.longestMilliseconds
      ? told
      : own;
    const answers = Math.max(told.answers, own.answers);
    const observedMilliseconds = Math.max(
      told.observedMilliseconds,
      own.observedMilliseconds,
    );
    return toTimes({ ...longer, answers, observedMilliseconds }, now);
  }
}

function spreadOf(
  { longestMilliseconds, meanMilliseconds }: RouteTimes,
): number {
  return Math.max(0, longestMilliseconds - meanMilliseconds);
}

function withMargin(times: RouteTimes): number {
  const margin = spreadOf(times) *
    (SPREAD_SHARE + SPREAD_ANSWERS / times.answers);
  return times.longestMilliseconds +
    Math.max(MINIMUM_MARGIN_MILLISECONDS, margin);
}

function toTimes({ at, ...times }: ToldTimes, now: number): RouteTimes {
  return { ...times, ageMilliseconds: Math.max(0, now - at) };
}

function removeOldest(routes: Map<string, unknown>): void {
  if (routes.size <= MAXIMUM_ROUTES) return;
  const [oldest] = routes.keys();
  if (oldest !== undefined) routes.delete(oldest);
}
