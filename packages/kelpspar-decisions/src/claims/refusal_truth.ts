import type { Outcome } from "kelpspar-shared";

/**
 * What is known of one call that was handed to the endpoint client:
 * `connection_refused` (no connection was made), `not_started` (the endpoint's
 * failure record says `started: false`), or `unproved` for all else. A reset
 * or a timeout after a write to a socket is `unproved`.
 */
export type CallProof = "connection_refused" | "not_started" | "unproved";

/** One stage of a request and every call that was dispatched for it. */
export interface StageFacts {
  /** `once` for a stage that acts on the world. */
  readonly effect: "none" | "once";
  readonly calls: readonly CallProof[];
}

/** What a daemon knows of a request that it is about to refuse. */
export interface RequestFacts {
  readonly stages: readonly StageFacts[];
  /**
   * True when the caller says that it sent the same key before and got no
   * answer. The other daemon may still run it, so that nothing can be proved
   * here. Default false.
   */
  readonly earlierSubmissionUnanswered?: boolean;
}

/**
 * The truthful outcome of a refusal. `not_run` needs proof that no endpoint
 * started any stage that has an effect. A pipeline without such a stage has
 * run as soon as any of its stages may have: a caller who saw half an answer
 * must not be told that nothing ran.
 *
 * Source: the brief, "What must always hold" (a refusal that says not run).
 */
export function judgeRefusal(
  facts: RequestFacts,
): Exclude<Outcome, "completed"> {
  if (facts.earlierSubmissionUnanswered) return "outcome_unknown";
  const effectful = facts.stages.filter((stage) => stage.effect === "once");
  const decisive = effectful.length > 0 ? effectful : facts.stages;
  const isProved = decisive.every((stage) =>
    stage.calls.every((call) => call !== "unproved")
  );
  return isProved ? "not_run" : "outcome_unknown";
}
