import type { RunnerArrival } from "../wire/runner_stand_in.ts";

/** The users' rule on repeats. */
export interface RepeatLimits {
  /** Repeats allowed for each request of a window. */
  readonly ratio: number;
  /** Repeats allowed in addition to these. */
  readonly slack: number;
  readonly windowMilliseconds: number;
}

/** The window that exceeds its limit most, or comes closest to it. */
export interface WorstWindow {
  /** End of the window, monotonic milliseconds. */
  readonly at: number;
  readonly repeats: number;
  readonly allowed: number;
  /** Whether any window exceeds its limit. */
  readonly isExceeded: boolean;
}

/** Windows whose requests count, by how long they end before the repeats'. */
const REQUEST_WINDOW_LAGS = [0, 0.5, 1];

/**
 * Judges what reached the runners of one service: in each window, the arrivals
 * beyond the first of each request are limited by the requests of that window,
 * of the one before it, or of the one half a window before it.
 */
export function findWorstWindow(
  limits: RepeatLimits,
  records: {
    /** When each request was sent, monotonic milliseconds. */
    readonly requests: readonly number[];
    readonly arrivals: readonly RunnerArrival[];
    /**
     * When each request first reached the service that it is for: later calls of
     * its stages are made for a run that is a repeat, and count as repeats.
     */
    readonly runs?: ReadonlyMap<string, number>;
  },
): WorstWindow {
  const { ratio, slack, windowMilliseconds } = limits;
  const requests = sorted(records.requests);
  const repeats = findRepeats(records.arrivals, records.runs);
  let worst: WorstWindow = {
    at: 0,
    repeats: 0,
    allowed: slack,
    isExceeded: false,
  };
  for (const at of repeats) {
    const counted = countBetween(repeats, at - windowMilliseconds, at);
    const sent = Math.max(...REQUEST_WINDOW_LAGS.map((lag) => {
      const end = at - lag * windowMilliseconds;
      return countBetween(requests, end - windowMilliseconds, end);
    }));
    const allowed = ratio * sent + slack;
    if (counted / allowed <= worst.repeats / worst.allowed) continue;
    const isExceeded = counted > allowed;
    worst = { at, repeats: counted, allowed, isExceeded };
  }
  return worst;
}

/** Times of the first arrival of each request, monotonic milliseconds. */
export function firstArrivals(
  arrivals: readonly RunnerArrival[],
): readonly number[] {
  return [...firstArrivalOfEach(arrivals).values()];
}

/** Time of the first arrival of each request, monotonic milliseconds. */
export function firstArrivalOfEach(
  arrivals: readonly RunnerArrival[],
): ReadonlyMap<string, number> {
  const first = new Map<string, number>();
  for (const { key, at } of arrivals) {
    first.set(key, Math.min(at, first.get(key) ?? at));
  }
  return first;
}

/**
 * Times at which each request first reached a runner; the key of a piece begins
 * with its request and a slash.
 */
export function firstRequestArrivals(
  arrivals: readonly RunnerArrival[],
): readonly number[] {
  return firstArrivals(
    arrivals.map(({ key, at }) => ({ key: requestOf(key), at })),
  );
}

function requestOf(key: string): string {
  return key.split("/", 1)[0] ?? key;
}

function findRepeats(
  arrivals: readonly RunnerArrival[],
  runs: ReadonlyMap<string, number> = new Map(),
): readonly number[] {
  const known = new Set<string>();
  const ordered = [...arrivals].sort((left, right) => left.at - right.at);
  return ordered.flatMap(({ key, at }) => {
    const runAt = runs.get(requestOf(key)) ?? Number.POSITIVE_INFINITY;
    if (known.has(key) || at > runAt) return [at];
    known.add(key);
    return [];
  });
}

function sorted(times: readonly number[]): readonly number[] {
  return [...times].sort((left, right) => left - right);
}

/** Number of sorted times after `from` and up to `to`. */
function countBetween(
  times: readonly number[],
  from: number,
  to: number,
): number {
  return indexAfter(times, to) - indexAfter(times, from);
}

/** Index of the first time after `limit`. */
function indexAfter(times: readonly number[], limit: number): number {
  let low = 0;
  let high = times.length;
  while (low < high) {
    const middle = (low + high) >>> 1;
    if ((times[middle] ?? 0) <= limit) low = middle + 1;
    else high = middle;
  }
  return low;
}
