import type { OpenAnswers } from "./open_answers.ts";
import type { RequestRun } from "./request_run.ts";
import { forecastRetry } from "../lifecycle/stop_forecast.ts";
import { LongestAges } from "./longest_ages.ts";
import { surveyOpenAnswers } from "./open_answers.ts";

/** Open requests are surveyed at most this often, milliseconds. */
const SURVEY_INTERVAL_MILLISECONDS = 20;
const NO_AGES = new LongestAges();

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
  #survey: OpenAnswers | undefined;

  constructor(openRuns: ReadonlySet<RequestRun>) {
    this.#openRuns = openRuns;
  }

  /**
   * Finds out that the stages and the answer of a request can't end in time.
   * While too little is known of its route, its deadline counts.
   */
  findArrivalRefusal(run: RequestRun): RequestRefusal | undefined {
    return this.#refuse(run, () => this.#neededFromArrival(run));
  }

  /** Finds out that an answer can't end in time if its request is sent now. */
  findSendRefusal(run: RequestRun): RequestRefusal | undefined {
    return this.#refuse(run, () => this.#neededFromSend(run));
  }

  /**
   * Milliseconds until the first event of an answer must come, at the latest
   * for it to end in time.
   */
  remainingForStages(run: RequestRun): number {
    const remaining = run.remaining();
    const lifetime = run.remainingLifetime();
    if (remaining <= lifetime) return remaining;
    const latestSend = lifetime - this.#neededFromSend(run);
    return Math.min(remaining, latestSend + run.expectedFirstByte);
  }

  /** Milliseconds after which a request that isn't served may be sent again. */
  retryMilliseconds(run: RequestRun): number {
    const { lifecycle, others } = run.options.dependencies;
    const { isOtherServing, ...rest } = others();
    const isServing = lifecycle.stopRequestedAt === undefined;
    const { endsAt } = this.#surveyAt(run.now());
    return forecastRetry({
      ...rest,
      isOtherServing: isOtherServing || isServing,
      endsIn: Math.min(
        lifecycle.remainingMilliseconds,
        Math.max(lifecycle.minimumMilliseconds, endsAt - run.now()),
      ),
      neededMilliseconds: this.#neededFromArrival(run),
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
  #neededFromArrival(run: RequestRun): number {
    const { dependencies, route } = run.options;
    const bound = dependencies.answerTimes.bound(route.name);
    const { arrivals } = this.#surveyAt(run.now());
    if (bound === undefined) return neededWithoutTimes(run);
    const longest = (arrivals.get(route.name) ?? NO_AGES).longestBut(run);
    return restOf(run, Math.max(bound, longest));
  }

  /**
   * Milliseconds from its send that an answer takes at most; 0 while nothing is
   * known of that, since the request has been accepted.
   */
  #neededFromSend(run: RequestRun): number {
    const { dependencies, route } = run.options;
    const fromArrival = dependencies.answerTimes.estimate(route.name);
    const fromSend = dependencies.sendTimes.estimate(route.name) ?? fromArrival;
    if (fromSend === undefined) return 0;
    const { sends } = this.#surveyAt(run.now());
    const longest = (sends.get(route.name) ?? NO_AGES).longestBut(run);
    // Few times from the send can be longer than all from the arrival.
    const expected = Math.min(fromSend, fromArrival ?? fromSend);
    return restOf(run, Math.max(expected, longest));
  }

  #surveyAt(now: number): OpenAnswers {
    const isCurrent = this.#survey !== undefined &&
      now - this.#survey.at < SURVEY_INTERVAL_MILLISECONDS;
    if (this.#survey === undefined || !isCurrent) {
      this.#survey = surveyOpenAnswers(this.#openRuns, now);
    }
    return this.#survey;
  }
}

/**
 * What a request needs of which no times are known. A daemon that stops and
 * relayed it has found that it can end.
 */
function neededWithoutTimes(run: RequestRun): number {
  const { lifecycle } = run.options.dependencies;
  return lifecycle.stopRequestedAt === undefined ? 0 : run.remaining();
}

/**
 * Milliseconds that are left of an answer that takes `milliseconds` as a whole.
 * A stream that goes on elsewhere needs at least its next event.
 */
function restOf(run: RequestRun, milliseconds: number): number {
  const { firstByteAt } = run;
  if (firstByteAt === undefined) {
    return Math.min(run.remaining(), milliseconds);
  }
  const rest = milliseconds - (run.now() - firstByteAt);
  return Math.min(run.remaining(), Math.max(run.expectedFirstByte, rest));
}
