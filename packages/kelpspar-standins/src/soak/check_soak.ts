import type { RunnerRun } from "../wire/runner_stand_in.ts";
import type { NamedLimit } from "../wire/advertised_limit.ts";
import type { WireAnswer } from "../wire/wire_caller.ts";
import { CRASHING_PATH } from "../wire/runner_stand_in.ts";

/** What a soak came to. */
export interface SoakVerdict {
  readonly asked: number;
  readonly served: number;
  readonly refused: number;
  /** One line for each broken promise. */
  readonly broken: readonly string[];
}

const SERVED = 200;
const PROMISES: ReadonlySet<number> = new Set([408, 421, 429, 503]);
const ONCE: ReadonlySet<string> = new Set(["once", "stream"]);
const EVENTS = 5;
/** The users' rule on requests that crash runners: after so many crashes, */
const CRASHES = 3;
/** and the time in which all daemons know of them, milliseconds, */
const CONTACT_MILLISECONDS = 3_000;
/** it may be sent so often. */
const SENDS_AFTER_CRASHES = 3;

/** The users' rule on limits counts requests in such spans, milliseconds, */
const LIMIT_SPAN_MILLISECONDS = 4_000;
/** and allows so many times the limit, */
const LIMIT_OVERSHOOT = 1.5;
/** and so many requests more. */
const LIMIT_SLACK = 5;
const MILLISECONDS_PER_SECOND = 1_000;

/** Checks promises by what callers and runners saw. */
export function checkSoak(
  answers: readonly WireAnswer[],
  runs: readonly RunnerRun[],
  limits: readonly NamedLimit[] = [],
): SoakVerdict {
  const runsOf = new Map<string, number>();
  for (const { attemptId } of runs) {
    runsOf.set(attemptId, (runsOf.get(attemptId) ?? 0) + 1);
  }
  const sent = new Set(answers.map(({ attemptId }) => attemptId));
  const broken = [
    ...answers.flatMap((answer) => checkAnswer(answer, runsOf)),
    ...checkCrashing(runs),
    ...limits.flatMap(checkLimit),
    ...[...runsOf.keys()].filter((id) => !sent.has(id))
      .map((id) => `${id}: run, but no caller sent it`),
  ];
  return {
    asked: answers.length,
    served: answers.filter((one) => one.status === SERVED).length,
    refused: answers.filter((one) => PROMISES.has(one.status ?? 0)).length,
    broken,
  };
}

/** A request that crashes runners may be sent so often after the third. */
function checkCrashing(runs: readonly RunnerRun[]): readonly string[] {
  const times = runs
    .filter(({ target }) => target.endsWith(CRASHING_PATH))
    .map(({ at }) => at)
    .sort((one, other) => one - other);
  const third = times[CRASHES - 1];
  if (third === undefined) return [];
  const late = times.filter((at) => at > third + CONTACT_MILLISECONDS).length;
  if (late <= SENDS_AFTER_CRASHES) return [];
  return [
    `a request that crashes runners: sent ${late} times after it was known`,
  ];
}

/** Most requests in a span while a runner names a limit. */
function checkLimit({ changes, arrivals }: NamedLimit): readonly string[] {
  return changes.flatMap(({ at, text }, index) => {
    const perSecond = Number(text);
    if (text === undefined || Number.isNaN(perSecond)) return [];
    const until = changes[index + 1]?.at ?? Number.POSITIVE_INFINITY;
    const counted = arrivals.filter((one) =>
      one >= at + CONTACT_MILLISECONDS && one < until
    );
    const most = Math.max(
      0,
      ...counted.map((from) =>
        counted.filter((one) =>
          one >= from && one < from + LIMIT_SPAN_MILLISECONDS
        ).length
      ),
    );
    const allowed = LIMIT_OVERSHOOT * perSecond * LIMIT_SPAN_MILLISECONDS /
        MILLISECONDS_PER_SECOND + LIMIT_SLACK;
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
  const broken: string[] = [];
  if (ONCE.has(route) && runs > 1) {
    broken.push(`${attemptId}: ${route} ran ${runs} times`);
  }
  if (ONCE.has(route) && PROMISES.has(status ?? 0) && runs > 0) {
    broken.push(`${attemptId}: said not to have run, and ran`);
  }
  const isWhole = status === SERVED && text !== undefined;
  if (isWhole && text !== expectedText(answer)) {
    broken.push(`${attemptId}: another body: ${JSON.stringify(text)}`);
  }
  return broken;
}

function expectedText({ attemptId, route }: WireAnswer): string {
  if (route === "once" || route === "often") return `answer to ${attemptId}`;
  return Array.from(
    { length: EVENTS },
    (_, index) => `id: ${index + 1}\ndata: ${attemptId} ${index + 1}\n\n`,
  ).join("");
}
