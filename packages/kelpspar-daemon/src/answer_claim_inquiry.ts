import type { ClaimService } from "./claims/claim_service.ts";
import type { ClaimInquiry } from "./peers/claim_inquiry.ts";
import type { KeyLedger, OwnerAnswer } from "kelpspar-decisions/claims";
import type { TimerService } from "kelpspar-shared";

/** What this daemon knows of the claims that it holds. */
export interface ClaimKnowledge {
  readonly claims: ClaimService;
  readonly ledger: KeyLedger;
  readonly timer: TimerService;
}

/** Answers another daemon that found one of this daemon's claims. */
export function answerClaimInquiry(
  knowledge: ClaimKnowledge,
  inquiry: ClaimInquiry,
): OwnerAnswer {
  const { operationId } = inquiry;
  const name = { account: inquiry.accountId, key: inquiry.idempotencyKey };
  const finding = knowledge.ledger.lookUp(name, knowledge.timer.now());
  // An operation is named by the request that made it.
  const isSameRun = finding?.requestId === operationId;
  if (isSameRun && finding.state === "completed") {
    return { type: "completed", operationId, result: finding.result };
  }
  return knowledge.claims.describeOperation(operationId);
}
