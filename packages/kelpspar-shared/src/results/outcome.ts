/**
 * What is known about a request's outcome. `not_run` requires proof that no
 * endpoint received a byte of the first stage that has an effect; without proof
 * the outcome of an unanswered request is `outcome_unknown`.
 *
 * Source: the brief, "What must always hold".
 */
export type Outcome = "completed" | "not_run" | "outcome_unknown";
