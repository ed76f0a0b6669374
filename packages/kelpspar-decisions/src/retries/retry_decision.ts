import type { Outcome, ResultName } from "kelpspar-shared";
import type { RetryContext } from "./retry_context.ts";

const MAXIMUM_ATTEMPTS = 3;
const MAXIMUM_RESUMES = 2;

/**
 * What to do after a failed attempt. `retry_elsewhere` and
 * `continue_elsewhere` send a new attempt, which is spent from the retry budget
 * and charged to the client account; `resume` reconnects to the same attempt
 * and is neither.
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

/** Actions that may help after each failure, in order of preference. */
const ACTIONS_BY_RESULT: Partial<Record<ResultName, readonly RetryAction[]>> = {
  endpoint_refused: ["continue_elsewhere", "retry_elsewhere"],
  endpoint_leaving: ["continue_elsewhere", "retry_elsewhere"],
  endpoint_overloaded: ["continue_elsewhere", "retry_elsewhere"],
  endpoint_silent: ["resume", "continue_elsewhere", "retry_elsewhere"],
  endpoint_failed: ["resume", "continue_elsewhere", "retry_elsewhere"],
  foreign_result: ["continue_elsewhere", "retry_elsewhere"],
};

const CHECKS: Record<RetryAction, (context: RetryContext) => boolean> = {
  resume: mayResume,
  continue_elsewhere: mayContinueElsewhere,
  retry_elsewhere: mayRetryElsewhere,
};

const DECISIONS: Record<RetryAction, (offset: number) => RetryDecision> = {
  resume: (offset) => ({ action: "resume", offset }),
  continue_elsewhere: (offset) => ({ action: "continue_elsewhere", offset }),
  retry_elsewhere: () => ({ action: "retry_elsewhere" }),
};

/** Decides what to do; fails at once, not at the deadline, if nothing helps. */
export function decideRetry(context: RetryContext): RetryDecision {
  const actions = ACTIONS_BY_RESULT[context.result] ?? [];
  for (const action of actions) {
    if (!CHECKS[action](context)) continue;
    return DECISIONS[action](context.receivedLength);
  }
  return { action: "fail", ...describeFailure(context) };
}

/**
 * True only when no endpoint can have run this stage. A failure record with
 * `started: false` covers its own call only: as the answer to a resumed attempt
 * it doesn't cover the call whose connection broke. Accepting it as proof there
 * would run a `once` stage twice, for example make two bookings.
 */
export function isProvenNotRun(context: RetryContext): boolean {
  if (context.earlierAttemptMayHaveRun || context.resumes > 0) return false;
  if (context.receivedLength > 0) return false;
  if (context.started !== undefined) return !context.started;
  return context.result === "endpoint_refused";
}

function mayResume(context: RetryContext): boolean {
  // An endpoint that sent a failure record has ended the attempt.
  if (context.started !== undefined) return false;
  return context.canResume && context.resumes < MAXIMUM_RESUMES &&
    context.remainingMilliseconds > 0;
}

function mayContinueElsewhere(context: RetryContext): boolean {
  return context.canContinue && context.receivedLength > 0 &&
    mayResend(context);
}

function mayRetryElsewhere(context: RetryContext): boolean {
  // A new run may generate a different text. After a part was delivered, the
  // caller's answer would be a mix of two texts with a matching checksum.
  return context.deliveredLength === 0 && mayResend(context);
}

function mayResend(context: RetryContext): boolean {
  if (context.effect === "once" && !isProvenNotRun(context)) return false;
  return context.attempts < MAXIMUM_ATTEMPTS && context.budgetAllows &&
    context.otherEndpoints > 0 && hasTime(context);
}

function hasTime(context: RetryContext): boolean {
  return context.remainingMilliseconds > 0 &&
    context.remainingMilliseconds >= context.minimumMilliseconds;
}

function describeFailure(
  context: RetryContext,
): { readonly result: ResultName; readonly outcome: Outcome } {
  const isProven = isProvenNotRun(context);
  const mayHaveActed = context.effect === "once" && !isProven;
  const outcome = mayHaveActed || context.deliveredLength > 0
    ? "outcome_unknown"
    : context.outcomeBefore;
  return {
    result: failureResult(context, { isProven, mayHaveActed }),
    outcome,
  };
}

function failureResult(
  context: RetryContext,
  flags: { readonly isProven: boolean; readonly mayHaveActed: boolean },
): ResultName {
  if (ACTIONS_BY_RESULT[context.result] === undefined) {
    return context.result;
  }
  if (flags.mayHaveActed) return "outcome_unknown";
  if (!hasTime(context)) return "deadline_exceeded";
  if (context.deliveredLength > 0) return "stream_cut";
  if (flags.isProven && context.otherEndpoints === 0) return "no_endpoint";
  return "stage_failed";
}
