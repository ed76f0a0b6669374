import type {
  HeldElsewhere,
  OwnerAnswer,
  StoredResult,
} from "kelpspar-decisions/claims";
import type { ClaimSettlement } from "../claims/claim_listener.ts";
import { decideOwnerAnswer } from "kelpspar-decisions/claims";
import { KelpsparError } from "kelpspar-shared";

const RETRY_AFTER_MILLISECONDS = 500;

/** Answer to a caller whose key another operation holds. */
export type SettledAnswer =
  | { readonly result: StoredResult }
  | { readonly error: KelpsparError };

/** Queries the holder of a claim; `silent` when it doesn't answer. */
export type ClaimHolderQuery = (held: HeldElsewhere) => Promise<OwnerAnswer>;

/** Converts the settlement of a key into the caller's answer. */
export async function resolveSettlement(
  settlement: ClaimSettlement,
  queryHolder: ClaimHolderQuery,
): Promise<SettledAnswer> {
  if (settlement.type === "completed") return { result: settlement.result };
  if (settlement.type === "held_elsewhere") {
    return resolveHeldClaim(settlement, await queryHolder(settlement));
  }
  return { error: SETTLEMENT_ERRORS[settlement.type]() };
}

const SETTLEMENT_ERRORS: Readonly<
  Record<"expired" | "reused", () => KelpsparError>
> = {
  expired: () =>
    new KelpsparError(
      "result_expired",
      "The request completed, but its result is no longer kept",
    ),
  reused: () =>
    new KelpsparError(
      "idempotency_key_reused",
      "The idempotency key was used before with another body",
    ),
};

function resolveHeldClaim(
  held: HeldElsewhere,
  answer: OwnerAnswer,
): SettledAnswer {
  const decision = decideOwnerAnswer(held, answer);
  if (decision.type === "completed") return { result: decision.result };
  const retryAfterMilliseconds = RETRY_AFTER_MILLISECONDS;
  if (decision.type === "in_progress") {
    return {
      error: new KelpsparError(
        "in_progress",
        "Another daemon runs the request of this idempotency key",
        { retryAfterMilliseconds },
      ),
    };
  }
  return {
    error: new KelpsparError(
      "outcome_unknown",
      "Another daemon claimed the idempotency key and its outcome is not known",
      { retryAfterMilliseconds },
    ),
  };
}
