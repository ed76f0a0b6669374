import type { RequestRun } from "./request_run.ts";

/** Retry delay of requests that a stopping daemon refuses. */
export const SHUTDOWN_RETRY_MILLISECONDS = 250;

/** Why a request is refused, and when it may be sent again. */
export interface RequestRefusal {
  readonly reason: string;
  readonly retryAfterMilliseconds: number;
}

/**
 * Refuses a request whose answer might not end before this daemon does. While
 * too little is known of its route, its deadline counts.
 */
export function findShutdownRefusal(
  run: RequestRun,
  openRuns: Iterable<RequestRun>,
): RequestRefusal | undefined {
  const { lifecycle } = run.options.dependencies;
  const available = lifecycle.remainingMilliseconds;
  if (expectedMilliseconds(run, openRuns) <= available) return undefined;
  return {
    reason: "daemon stops before the answer can end",
    retryAfterMilliseconds: SHUTDOWN_RETRY_MILLISECONDS,
  };
}

/** Milliseconds that the answer takes at most, as far as is known. */
function expectedMilliseconds(
  run: RequestRun,
  openRuns: Iterable<RequestRun>,
): number {
  const { dependencies, route } = run.options;
  const bound = dependencies.answerTimes.bound(route.name);
  if (bound === undefined) return run.remaining();
  // Answers in progress show first that a route has become slower.
  const ages = [...openRuns]
    .filter((open) => open.options.route.name === route.name)
    .map((open) => run.now() - open.options.arrivedAt);
  return Math.min(run.remaining(), Math.max(bound, ...ages));
}
