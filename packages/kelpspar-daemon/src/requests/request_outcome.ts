import type { StageFacts } from "kelpspar-decisions/claims";
import type { KelpsparError, Outcome } from "kelpspar-shared";
import type { RequestContext } from "./request_context.ts";
import { determineRefusalOutcome } from "kelpspar-decisions/claims";
import { KelpsparError as ResultError } from "kelpspar-shared";

/** What a caller may be told of a request that got no answer. */
export function outcomeOf(
  context: RequestContext,
): Exclude<Outcome, "completed"> {
  return context.mayRunElsewhere ? "outcome_unknown" : outcomeHere(context);
}

/**
 * What is proved of this daemon's own run, whatever others may do. A stage
 * that has not begun counts with no call: were it left out, a booking refused
 * before its once-stage would be judged as a request that ran.
 */
export function outcomeHere(
  context: RequestContext,
): Exclude<Outcome, "completed"> {
  const stages: StageFacts[] = context.pipeline.stages.map(({ id }) => ({
    effect: context.onceStages.has(id) ? "once" : "none",
    calls: context.traces.get(id)?.dispatches ?? [],
  }));
  return determineRefusalOutcome({ stages });
}

/** The same failure with the outcome that the request's calls prove. */
export function withProvedOutcome(
  error: KelpsparError,
  context: RequestContext,
): KelpsparError {
  return withOutcome(error, outcomeOf(context));
}

/**
 * The same failure for a request of which an earlier submission got no answer:
 * that nothing ran is then proved of this submission only.
 */
export function withoutProof(error: KelpsparError): KelpsparError {
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
