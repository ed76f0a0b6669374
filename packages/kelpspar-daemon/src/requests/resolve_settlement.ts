import type {
  HeldElsewhere,
  OwnerAnswer,
  StoredResult,
} from "kelpspar-decisions/claims";
import type { ClaimSettlement } from "../claims/claim_listener.ts";
import { decideOwnerAnswer } from "kelpspar-decisions/claims";
import { KelpsparError } from "kelpspar-shared";

const COME_BACK_MILLISECONDS = 500;

/** What a caller gets whose key another operation holds. */
export type SettledAnswer =
  | { readonly result: StoredResult }
  | { readonly error: KelpsparError };

/** Asks the holder of a claim about it; `silent` when it gives no answer. */
export type AskHolder = (held: HeldElsewhere) => Promise<OwnerAnswer>;

/** Turns what is known of a key into its caller's answer. */
export async function answerSettlement(
  settlement: ClaimSettlement,
  askHolder: AskHolder,
): Promise<SettledAnswer> {
  if (settlement.type === "completed") return { result: settlement.result };
  if (settlement.type === "held_elsewhere") {
    return answerHeld(settlement, await askHolder(settlement));
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

function answerHeld(
  held: HeldElsewhere,
  answer: OwnerAnswer,
): SettledAnswer {
  const decision = decideOwnerAnswer(held, answer);
  if (decision.type === "completed") return { result: decision.result };
  const retryAfterMilliseconds = COME_BACK_MILLISECONDS;
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
