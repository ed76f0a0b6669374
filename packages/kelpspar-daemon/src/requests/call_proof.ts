import type { CallProof } from "kelpspar-decisions/claims";
import type { KelpsparError } from "kelpspar-shared";

/** Returns what a failed call proves about whether the endpoint started it. */
export function proofOf(error: KelpsparError): CallProof {
  if (error.outcome !== "not_run") return "unproved";
  return error.result === "endpoint_refused"
    ? "connection_refused"
    : "not_started";
}
