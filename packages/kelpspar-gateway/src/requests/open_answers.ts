import type { RequestRun } from "./request_run.ts";
import { LongestAges } from "./longest_ages.ts";

/** What the requests in progress show of their routes. */
export interface OpenAnswers {
  /** When it was found out; monotonic milliseconds. */
  readonly at: number;
  /** When the last of them has probably ended; monotonic milliseconds. */
  readonly endsAt: number;
  /** Ages from the arrival, by route. */
  readonly arrivals: ReadonlyMap<string, LongestAges>;
  /** Ages from the send, by route. */
  readonly sends: ReadonlyMap<string, LongestAges>;
}

/** Surveys requests in progress, which show first that a route is slow. */
export function surveyOpenAnswers(
  openRuns: Iterable<RequestRun>,
  now: number,
): OpenAnswers {
  const arrivals = new Map<string, LongestAges>();
  const sends = new Map<string, LongestAges>();
  const bounds = new Map<string, number | undefined>();
  let endsAt = now;
  for (const run of openRuns) {
    const { route, arrivedAt, dependencies } = run.options;
    const { name } = route;
    if (!bounds.has(name)) {
      bounds.set(name, dependencies.answerTimes.bound(name));
    }
    const bound = bounds.get(name) ?? Number.POSITIVE_INFINITY;
    const remaining = Math.min(run.remaining(), arrivedAt + bound - now);
    endsAt = Math.max(endsAt, now + remaining);
    // A caller that doesn't read says nothing of the route.
    const until = run.writingSince ?? now;
    agesOf(arrivals, name).add(run, until - arrivedAt);
    if (run.sentAt !== undefined) {
      agesOf(sends, name).add(run, until - run.sentAt);
    }
  }
  return { at: now, endsAt, arrivals, sends };
}

function agesOf(
  agesByRoute: Map<string, LongestAges>,
  route: string,
): LongestAges {
  const known = agesByRoute.get(route);
  if (known !== undefined) return known;
  const ages = new LongestAges();
  agesByRoute.set(route, ages);
  return ages;
}
