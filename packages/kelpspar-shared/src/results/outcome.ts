/**
 * What is known of a request that got no answer. `not_run` is said only with
 * proof that no endpoint received a byte of the first stage that has an
 * effect; everything short of proof is `outcome_unknown`.
 *
 * Source: the brief, "What must always hold".
 */
export type Outcome = "completed" | "not_run" | "outcome_unknown";
