import type { RunnerArrival, RunnerRun } from "../wire/runner_stand_in.ts";
import type { AdvertisedLimit } from "../wire/advertised_limit.ts";
import type { WireAnswer } from "../wire/wire_caller.ts";
import {
  findWorstWindow,
  firstRequestArrivals,
} from "../repeats/find_worst_window.ts";
import {
  CRASHING_PATH_SUFFIX,
  hasPromptPart,
} from "../wire/runner_stand_in.ts";
import { RETRY_LIMITS } from "../wire/wire_site.ts";

/** The result of a soak test. */
export interface SoakVerdict {
  readonly submitted: number;
  readonly served: number;
  readonly refused: number;
  /** Number of refusals by status and the daemon's reason. */
  readonly refusals: ReadonlyMap<string, number>;
  /** Attempts that took up a broken stream, and those that brought events. */
  readonly resumes: number;
  readonly resumed: number;
  /** One line for each violated guarantee. */
  readonly violations: readonly string[];
}

const SERVED_STATUS = 200;
/** Status codes that guarantee that the request did not run. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);
const AT_MOST_ONCE_ROUTES: ReadonlySet<string> = new Set(["once", "stream"]);
const EVENTS_PER_STREAM = 5;
/** Part of a prompt that crashes the runners that begin to answer on it. */
export const CRASHING_PART = "dead";
/** The users' rule on poison requests: known after this many crashes. */
const CRASH_LIMIT = 3;
/** The users' rule on parts of prompts: known after this many crashes. */
const PART_CRASH_LIMIT = 5;
/** The users' rule: time until all daemons know of a crash or a limit. */
const PROPAGATION_MILLISECONDS = 3_000;
/** The users' rule: sends of a poison request after all daemons know it. */
const MAXIMUM_SENDS_AFTER_CRASH_LIMIT = 3;

/** The users' rule on limits counts requests in windows of this length. */
const LIMIT_WINDOW_MILLISECONDS = 4_000;
/** The users' rule: factor by which requests may exceed the limit. */
const LIMIT_OVERSHOOT_FACTOR = 1.5;
/** The users' rule: requests allowed in addition to the factor. */
const LIMIT_SLACK_REQUESTS = 5;
const MILLISECONDS_PER_SECOND = 1_000;

/** Checks the guarantees against the records of callers and runners. */
export function checkSoak(
  answers: readonly WireAnswer[],
  runs: readonly RunnerRun[],
  limits: readonly AdvertisedLimit[] = [],
  arrivals: readonly (readonly RunnerArrival[])[] = [],
): SoakVerdict {
  const runsOf = new Map<string, number>();
  for (const { attemptId } of runs) {
    runsOf.set(attemptId, (runsOf.get(attemptId) ?? 0) + 1);
  }
  const sent = new Set(answers.flatMap(attemptIdsOf));
  const violations = [
    ...answers.flatMap((answer) => checkAnswer(answer, runsOf)),
    ...checkLateSends(
      "a request that crashes runners",
      runs.filter(({ target }) => target.endsWith(CRASHING_PATH_SUFFIX)),
      CRASH_LIMIT,
    ),
    ...checkLateSends(
      "a part that crashes runners",
      runs.filter((run) => hasPromptPart(run, CRASHING_PART)),
      PART_CRASH_LIMIT,
    ),
    ...limits.flatMap(checkAdvertisedLimit),
    ...arrivals.flatMap(checkRepeats),
    ...[...runsOf.keys()].filter((id) => !sent.has(id))
      .map((id) => `${id}: run, but no caller sent it`),
  ];
  const refused = answers.filter(({ status }) =>
    NOT_RUN_STATUSES.has(status ?? 0)
  );
  return {
    submitted: answers.length,
    served: answers.filter((answer) => answer.status === SERVED_STATUS).length,
    refused: refused.length,
    refusals: countRefusals(refused),
    resumes: answers.reduce(
      (sum, { resumingIds = [] }) => sum + resumingIds.length,
      0,
    ),
    resumed: answers.reduce(
      (sum, { resumedCount = 0 }) => sum + resumedCount,
      0,
    ),
    violations,
  };
}

function countRefusals(
  refused: readonly WireAnswer[],
): ReadonlyMap<string, number> {
  const counts = new Map<string, number>();
  for (const { status, reason = "" } of refused) {
    const name = `${status} ${reason.trim()}`;
    counts.set(name, (counts.get(name) ?? 0) + 1);
  }
  return counts;
}

function attemptIdsOf(
  { attemptId, resumingIds = [] }: WireAnswer,
): readonly string[] {
  return [attemptId, ...resumingIds];
}

/** Checks how often what crashes runners was sent after it was known. */
function checkLateSends(
  what: string,
  runs: readonly RunnerRun[],
  crashLimit: number,
): readonly string[] {
  const times = runs.map(({ at }) => at).sort((left, right) => left - right);
  const known = times[crashLimit - 1];
  if (known === undefined) return [];
  const late =
    times.filter((at) => at > known + PROPAGATION_MILLISECONDS).length;
  if (late <= MAXIMUM_SENDS_AFTER_CRASH_LIMIT) return [];
  return [`${what}: sent ${late} times after it was known`];
}

/** Checks how often requests or pieces reached the runners of a service again. */
function checkRepeats(arrivals: readonly RunnerArrival[]): readonly string[] {
  const { isExceeded, repeats, allowed } = findWorstWindow(RETRY_LIMITS, {
    requests: firstRequestArrivals(arrivals),
    arrivals,
  });
  if (!isExceeded) return [];
  return [`${repeats} repeats in a window of ${Math.floor(allowed)} allowed`];
}

/** Checks the highest request count in a window against each limit. */
function checkAdvertisedLimit(
  { changes, arrivals }: AdvertisedLimit,
): readonly string[] {
  return changes.flatMap(({ at, text }, index) => {
    const perSecond = Number(text);
    if (text === undefined || Number.isNaN(perSecond)) return [];
    const until = changes[index + 1]?.at ?? Number.POSITIVE_INFINITY;
    const counted = arrivals.filter((arrival) =>
      arrival >= at + PROPAGATION_MILLISECONDS && arrival < until
    );
    const most = Math.max(
      0,
      ...counted.map((from) =>
        counted.filter((arrival) =>
          arrival >= from && arrival < from + LIMIT_WINDOW_MILLISECONDS
        ).length
      ),
    );
    const allowed =
      LIMIT_OVERSHOOT_FACTOR * perSecond * LIMIT_WINDOW_MILLISECONDS /
        MILLISECONDS_PER_SECOND + LIMIT_SLACK_REQUESTS;
    if (most <= allowed) return [];
    return [`a limit of ${text} a second: ${most} requests in 4 s`];
  });
}

function checkAnswer(
  answer: WireAnswer,
  runsOf: ReadonlyMap<string, number>,
): readonly string[] {
  const { attemptId, route, status, text } = answer;
  const runs = runsOf.get(attemptId) ?? 0;
  const violations: string[] = [];
  const held = text?.match(/prompt parts (\S+) crash/)?.[1];
  if (held !== undefined && !held.split(",").includes(CRASHING_PART)) {
    violations.push(`${attemptId}: quarantined for sound parts ${held}`);
  }
  if (AT_MOST_ONCE_ROUTES.has(route) && runs > 1) {
    violations.push(`${attemptId}: ${route} ran ${runs} times`);
  }
  if (
    AT_MOST_ONCE_ROUTES.has(route) && NOT_RUN_STATUSES.has(status ?? 0) &&
    runs > 0
  ) {
    violations.push(`${attemptId}: said not to have run, and ran`);
  }
  const isWhole = status === SERVED_STATUS && text !== undefined;
  if (isWhole && !isExpected(answer, text)) {
    violations.push(`${attemptId}: another body: ${JSON.stringify(text)}`);
  }
  const versions = new Set(
    eventsOf(answer.events ?? "").map(({ version }) => version),
  );
  if (versions.size > 1) {
    const found = [...versions].join(" and ");
    violations.push(`${attemptId}: a stream of the versions ${found}`);
  }
  return violations;
}

interface StreamEvent {
  readonly id: number;
  readonly attemptId: string;
  readonly version: string;
}

function eventsOf(lines: string): readonly StreamEvent[] {
  const matches = lines.matchAll(/id: (\d+)\ndata: (\S+) \1 (\S+)\n\n/g);
  return [...matches].map(([, id, attemptId = "", version = ""]) => ({
    id: Number(id),
    attemptId,
    version,
  }));
}

/** Whether a caller has the whole answer of its own attempts, and only that. */
function isExpected(answer: WireAnswer, text: string): boolean {
  const { attemptId, route } = answer;
  if (route === "once" || route === "often") {
    return text === `answer to ${attemptId}`;
  }
  // Runners end the lines of their streams in different ways.
  const lines = text.replaceAll(/\r\n?/g, "\n");
  const events = eventsOf(lines);
  const ids = attemptIdsOf(answer);
  const isComplete = events.length === EVENTS_PER_STREAM &&
    events.every((event, index) =>
      event.id === index + 1 && ids.includes(event.attemptId)
    );
  const rendered = events.map(({ id, attemptId: owner, version }) =>
    `id: ${id}\ndata: ${owner} ${id} ${version}\n\n`
  ).join("");
  return isComplete && rendered === lines;
}
