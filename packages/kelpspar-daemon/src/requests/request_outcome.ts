import type { StageFacts } from "kelpspar-decisions/claims";
import type { KelpsparError, Outcome } from "kelpspar-shared";
import type { RequestContext } from "./request_context.ts";
import { determineRefusalOutcome } from "kelpspar-decisions/claims";
import { KelpsparError as ResultError } from "kelpspar-shared";

/** The outcome to report to the caller of a request that got no answer. */
export function outcomeForCaller(
  context: RequestContext,
): Exclude<Outcome, "completed"> {
  return context.mayRunElsewhere ? "outcome_unknown" : localOutcome(context);
}

/**
 * The outcome that the calls of this daemon's own run prove, regardless of runs
 * elsewhere. A stage that has not begun counts with no call: if it were left
 * out, a request refused before its at-most-once stage would count as run.
 */
export function localOutcome(
  context: RequestContext,
): Exclude<Outcome, "completed"> {
  const stages: StageFacts[] = context.pipeline.stages.map(({ id }) => ({
    effect: context.onceStages.has(id) ? "once" : "none",
    calls: context.traces.get(id)?.dispatches ?? [],
  }));
  return determineRefusalOutcome({ stages });
}

/** Returns the failure with the outcome that the request's calls prove. */
export function withProvenOutcome(
  error: KelpsparError,
  context: RequestContext,
): KelpsparError {
  return withOutcome(error, outcomeForCaller(context));
}

/**
 * Returns the failure with `outcome_unknown` in place of `not_run`, for a
 * request whose earlier submission got no answer: `not_run` would be proved for
 * this submission only.
 */
export function withoutNotRun(error: KelpsparError): KelpsparError {
  return error.outcome === "not_run"
    ? withOutcome(error, "outcome_unknown")
    : error;
}

function withOutcome(error: KelpsparError, outcome: Outcome): KelpsparError {
  const { retryAfterMilliseconds } = error;
  return new ResultError(error.result, error.message, {
    outcome,
    cause: error,
    ...(retryAfterMilliseconds === undefined ? {} : { retryAfterMilliseconds }),
  });
}
