import type { RequestRun } from "./request_run.ts";
import { forecastRetry } from "../lifecycle/stop_forecast.ts";

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
  openRuns: readonly RequestRun[],
): RequestRefusal | undefined {
  const { lifecycle } = run.options.dependencies;
  const needed = neededMilliseconds(run, openRuns);
  if (needed <= lifecycle.remainingMilliseconds) return undefined;
  return {
    reason: "daemon stops before the answer can end",
    retryAfterMilliseconds: shutdownRetryMilliseconds(run, openRuns),
  };
}

/** Milliseconds after which a request that isn't served may be sent again. */
export function shutdownRetryMilliseconds(
  run: RequestRun,
  openRuns: readonly RequestRun[],
): number {
  const { lifecycle, others } = run.options.dependencies;
  const openMilliseconds = openRuns.map(remainingAnswerMilliseconds);
  return forecastRetry({
    ...others(),
    endsIn: Math.min(
      lifecycle.remainingMilliseconds,
      Math.max(lifecycle.minimumMilliseconds, ...openMilliseconds),
    ),
    neededMilliseconds: neededMilliseconds(run, openRuns),
  });
}

/** Milliseconds that an answer takes at most, as far as is known. */
function neededMilliseconds(
  run: RequestRun,
  openRuns: readonly RequestRun[],
): number {
  const { dependencies, route } = run.options;
  const bound = dependencies.answerTimes.bound(route.name);
  if (bound === undefined) return run.remaining();
  // Answers in progress show first that a route has become slower.
  const ages = openRuns
    .filter((open) => open.options.route.name === route.name)
    .map(ageMilliseconds);
  return Math.min(run.remaining(), Math.max(bound, ...ages));
}

/** Milliseconds until the answer in progress has probably ended. */
function remainingAnswerMilliseconds(run: RequestRun): number {
  const { dependencies, route } = run.options;
  const bound = dependencies.answerTimes.bound(route.name);
  if (bound === undefined) return run.remaining();
  return Math.min(run.remaining(), bound - ageMilliseconds(run));
}

function ageMilliseconds(run: RequestRun): number {
  return run.now() - run.options.arrivedAt;
}
