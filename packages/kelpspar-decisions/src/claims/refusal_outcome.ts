import type { Outcome } from "kelpspar-shared";

/**
 * Evidence about one call that was passed to the endpoint client:
 * - `connection_refused`: no connection was made.
 * - `not_started`: the endpoint's failure record says `started: false`.
 * - `unproved`: everything else, such as a reset or a timeout after a write to
 *   a socket.
 */
export type CallProof = "connection_refused" | "not_started" | "unproved";

/** One stage of a request and all calls dispatched for it. */
export interface StageFacts {
  /** `once` for a stage with external side effects. */
  readonly effect: "none" | "once";
  readonly calls: readonly CallProof[];
}

/** Information about a request that is about to be refused. */
export interface RequestFacts {
  readonly stages: readonly StageFacts[];
  /**
   * True if the caller reports that it sent the same key before without an
   * answer. The other daemon may still run it, so nothing can be proved here.
   * Default false.
   */
  readonly earlierSubmissionUnanswered?: boolean;
}

/**
 * Determines the outcome to report with a refusal. `not_run` requires proof
 * that no endpoint started any stage with an effect. A pipeline without such a
 * stage counts as run as soon as any of its stages may have run: a caller that
 * received part of an answer must not be told that nothing ran.
 *
 * Source: the brief, "What must always hold" (a refusal that says not run).
 */
export function determineRefusalOutcome(
  facts: RequestFacts,
): Exclude<Outcome, "completed"> {
  if (facts.earlierSubmissionUnanswered) return "outcome_unknown";
  const stagesWithEffect = facts.stages.filter((stage) =>
    stage.effect === "once"
  );
  const relevantStages = stagesWithEffect.length > 0
    ? stagesWithEffect
    : facts.stages;
  const isProved = relevantStages.every((stage) =>
    stage.calls.every((call) => call !== "unproved")
  );
  return isProved ? "not_run" : "outcome_unknown";
}
