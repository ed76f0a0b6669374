import type { Outcome, ResultName } from "kelpspar-shared";
import type { RetrySituation } from "./retry_situation.ts";

const MOST_ATTEMPTS = 3;
const MOST_RESUMES = 2;

/**
 * What to do after a failed attempt. `retry_elsewhere` and
 * `continue_elsewhere` send a new attempt, to be taken from the budget and
 * charged to the account; `resume` takes up the same attempt and is neither.
 */
export type RetryDecision =
  | { readonly action: "retry_elsewhere" }
  | { readonly action: "resume"; readonly offset: number }
  | { readonly action: "continue_elsewhere"; readonly offset: number }
  | {
    readonly action: "fail";
    readonly result: ResultName;
    readonly outcome: Outcome;
  };

type RetryAction = Exclude<RetryDecision["action"], "fail">;

/** What may help after a failure without a record, best first. */
const ACTIONS_BY_RESULT: Partial<Record<ResultName, readonly RetryAction[]>> = {
  endpoint_refused: ["continue_elsewhere", "retry_elsewhere"],
  endpoint_leaving: ["continue_elsewhere", "retry_elsewhere"],
  endpoint_overloaded: ["continue_elsewhere", "retry_elsewhere"],
  endpoint_silent: ["resume", "continue_elsewhere", "retry_elsewhere"],
  endpoint_failed: ["resume", "continue_elsewhere", "retry_elsewhere"],
  foreign_result: ["continue_elsewhere", "retry_elsewhere"],
};

const CHECKS: Record<RetryAction, (situation: RetrySituation) => boolean> = {
  resume: mayResume,
  continue_elsewhere: mayContinueElsewhere,
  retry_elsewhere: mayRetryElsewhere,
};

const DECISIONS: Record<RetryAction, (offset: number) => RetryDecision> = {
  resume: (offset) => ({ action: "resume", offset }),
  continue_elsewhere: (offset) => ({ action: "continue_elsewhere", offset }),
  retry_elsewhere: () => ({ action: "retry_elsewhere" }),
};

/** Decides at once; what can't be helped is never held until the deadline. */
export function decideRetry(situation: RetrySituation): RetryDecision {
  const actions = ACTIONS_BY_RESULT[situation.result] ?? [];
  for (const action of actions) {
    if (!CHECKS[action](situation)) continue;
    return DECISIONS[action](situation.receivedLength);
  }
  return { action: "fail", ...describeFailure(situation) };
}

/**
 * True only when no endpoint can have run this stage. A record that says
 * `started: false` vouches for its own call alone: as the answer to a resumed
 * attempt it says nothing of the call that broke. Taken as proof then, a
 * `once` stage would run twice; one would see two bookings.
 */
export function isProvedNotRun(situation: RetrySituation): boolean {
  if (situation.earlierAttemptMayHaveRun || situation.resumes > 0) return false;
  if (situation.receivedLength > 0) return false;
  if (situation.started !== undefined) return !situation.started;
  return situation.result === "endpoint_refused";
}

function mayResume(situation: RetrySituation): boolean {
  // An endpoint that sent a failure record has ended the attempt.
  if (situation.started !== undefined) return false;
  return situation.canResume && situation.resumes < MOST_RESUMES &&
    situation.remainingMilliseconds > 0;
}

function mayContinueElsewhere(situation: RetrySituation): boolean {
  return situation.canContinue && situation.receivedLength > 0 &&
    maySendAgain(situation);
}

function mayRetryElsewhere(situation: RetrySituation): boolean {
  // A new run may write another text. After a part has gone to the caller its
  // answer would be put together from two texts, with a checksum that fits.
  return situation.deliveredLength === 0 && maySendAgain(situation);
}

function maySendAgain(situation: RetrySituation): boolean {
  if (situation.effect === "once" && !isProvedNotRun(situation)) return false;
  return situation.attempts < MOST_ATTEMPTS && situation.budgetAllows &&
    situation.otherEndpoints > 0 && hasTime(situation);
}

function hasTime(situation: RetrySituation): boolean {
  return situation.remainingMilliseconds > 0 &&
    situation.remainingMilliseconds >= situation.minimumMilliseconds;
}

function describeFailure(
  situation: RetrySituation,
): { readonly result: ResultName; readonly outcome: Outcome } {
  const isProved = isProvedNotRun(situation);
  const mayHaveActed = situation.effect === "once" && !isProved;
  const outcome = mayHaveActed || situation.deliveredLength > 0
    ? "outcome_unknown"
    : situation.outcomeBefore;
  return {
    result: nameFailure(situation, { isProved, mayHaveActed }),
    outcome,
  };
}

function nameFailure(
  situation: RetrySituation,
  known: { readonly isProved: boolean; readonly mayHaveActed: boolean },
): ResultName {
  if (ACTIONS_BY_RESULT[situation.result] === undefined) {
    return situation.result;
  }
  if (known.mayHaveActed) return "outcome_unknown";
  if (!hasTime(situation)) return "deadline_exceeded";
  if (situation.deliveredLength > 0) return "stream_cut";
  if (known.isProved && situation.otherEndpoints === 0) return "no_endpoint";
  return "stage_failed";
}
