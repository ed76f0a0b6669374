import type { RequestRun } from "./request_run.ts";
import { forecastRetry } from "../lifecycle/stop_forecast.ts";

/** Why a request is refused, and when it may be sent again. */
export interface RequestRefusal {
  readonly reason: string;
  readonly retryAfterMilliseconds: number;
}

/**
 * Refuses requests whose answers might not end before a stopping daemon does,
 * this one or the one that relayed them: when they arrive, and again before
 * each send, since stages may end late.
 */
export class ShutdownAdmission {
  readonly #openRuns: ReadonlySet<RequestRun>;

  constructor(openRuns: ReadonlySet<RequestRun>) {
    this.#openRuns = openRuns;
  }

  /**
   * Refuses a request whose stages and answer can't end in time. While too
   * little is known of its route, its deadline counts.
   */
  refuseArrival(run: RequestRun): RequestRefusal | undefined {
    return this.#refuse(run, () => this.#neededMilliseconds(run));
  }

  /** Refuses a request whose answer can't end in time if it is sent now. */
  refuseSend(run: RequestRun): RequestRefusal | undefined {
    return this.#refuse(run, () => this.#neededFromSend(run));
  }

  /** Milliseconds until the request must have been sent. */
  remainingBeforeSend(run: RequestRun): number {
    const lifetime = run.remainingLifetime();
    return Number.isFinite(lifetime)
      ? Math.min(run.remaining(), lifetime - this.#neededFromSend(run))
      : run.remaining();
  }

  /** Milliseconds after which a request that isn't served may be sent again. */
  retryMilliseconds(run: RequestRun): number {
    const { lifecycle, others } = run.options.dependencies;
    const openMilliseconds = [...this.#openRuns].map(
      remainingAnswerMilliseconds,
    );
    return forecastRetry({
      ...others(),
      endsIn: Math.min(
        lifecycle.remainingMilliseconds,
        Math.max(lifecycle.minimumMilliseconds, ...openMilliseconds),
      ),
      neededMilliseconds: this.#neededMilliseconds(run),
    });
  }

  #refuse(
    run: RequestRun,
    findNeeded: () => number,
  ): RequestRefusal | undefined {
    const lifetime = run.remainingLifetime();
    if (!Number.isFinite(lifetime) || findNeeded() <= lifetime) {
      return undefined;
    }
    return {
      reason: "daemon stops before the answer can end",
      retryAfterMilliseconds: this.retryMilliseconds(run),
    };
  }

  /** Milliseconds from its arrival that an answer takes at most. */
  #neededMilliseconds(run: RequestRun): number {
    const { dependencies, route } = run.options;
    const bound = dependencies.answerTimes.bound(route.name);
    if (bound === undefined) return run.remaining();
    const longest = this.#longestAge(run, (open) => open.options.arrivedAt);
    return restOf(run, Math.max(bound, longest));
  }

  /**
   * Milliseconds from its send that an answer takes at most; 0 while that is
   * unknown, since the request has been accepted.
   */
  #neededFromSend(run: RequestRun): number {
    const { dependencies, route } = run.options;
    const bound = dependencies.sendTimes.bound(route.name) ??
      dependencies.answerTimes.bound(route.name);
    if (bound === undefined) return 0;
    const longest = this.#longestAge(run, ({ sentAt }) => sentAt);
    return restOf(run, Math.max(bound, longest));
  }

  /** Answers in progress show first that a route has become slower. */
  #longestAge(
    run: RequestRun,
    startOf: (open: RequestRun) => number | undefined,
  ): number {
    const { name } = run.options.route;
    const ages = [...this.#openRuns]
      .filter((open) => open !== run && open.options.route.name === name)
      .map((open) => open.now() - (startOf(open) ?? open.now()));
    return Math.max(0, ...ages);
  }
}

/**
 * Milliseconds that are left of an answer that takes `milliseconds` as a whole.
 * A stream that goes on elsewhere needs at least its next event.
 */
function restOf(run: RequestRun, milliseconds: number): number {
  const { firstByteAt, options } = run;
  const { dependencies, route } = options;
  if (firstByteAt === undefined) {
    return Math.min(run.remaining(), milliseconds);
  }
  const nextEvent = dependencies.firstByteEstimates.estimate(
    route.name,
    route.kind === "stream",
  );
  const rest = milliseconds - (run.now() - firstByteAt);
  return Math.min(run.remaining(), Math.max(nextEvent, rest));
}

/** Milliseconds until the answer in progress has probably ended. */
function remainingAnswerMilliseconds(run: RequestRun): number {
  const { dependencies, route, arrivedAt } = run.options;
  const bound = dependencies.answerTimes.bound(route.name);
  if (bound === undefined) return run.remaining();
  return Math.min(run.remaining(), bound - (run.now() - arrivedAt));
}
