import type { ClaimService } from "./claims/claim_service.ts";
import type { ClaimInquiry } from "./peers/claim_inquiry.ts";
import type { KeyLedger, OwnerAnswer } from "kelpspar-decisions/claims";
import type { TimerService } from "kelpspar-shared";

/** Sources of this daemon's knowledge of the claims that it holds. */
export interface ClaimInquiryContext {
  readonly claims: ClaimService;
  readonly ledger: KeyLedger;
  readonly timer: TimerService;
}

/** Answers another daemon's inquiry about a claim that this daemon holds. */
export function answerClaimInquiry(
  context: ClaimInquiryContext,
  inquiry: ClaimInquiry,
): OwnerAnswer {
  const { operationId } = inquiry;
  const name = { account: inquiry.accountId, key: inquiry.idempotencyKey };
  const entry = context.ledger.lookUp(name, context.timer.now());
  // An operation has the id of the request that created it.
  const isSameRun = entry?.requestId === operationId;
  if (isSameRun && entry.state === "completed") {
    return { type: "completed", operationId, result: entry.result };
  }
  return context.claims.describeOperation(operationId);
}
