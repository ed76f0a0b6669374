export type { EpochKey } from "./bound_key_epoch.ts";
export type {
  ClaimAttemptAction,
  ClaimAttemptStep,
} from "./claim_attempt_action.ts";
export type {
  ClaimAttemptEvent,
  ClaimAttemptEventType,
  ClaimWriteAnswer,
} from "./claim_attempt_event.ts";
export type {
  ClaimAttempt,
  ClaimPhase,
  ClaimWriteKind,
} from "./claim_attempt_state.ts";
export type { ClaimBatch, ClaimBatcherOptions } from "./claim_batcher.ts";
export type { ClaimDecision, HeldElsewhere } from "./claim_decision.ts";
export type { ClaimIdentity } from "./claim_identity.ts";
export type {
  ClaimContent,
  ClaimRow,
  ClaimState,
  FoundClaim,
} from "./claim_row.ts";
export type {
  ClaimTableWrite,
  ClaimTransaction,
  ClaimTransactionAnswer,
  ClaimTransactionOutcome,
} from "./claim_transaction.ts";
export type { HeldDecision, OwnerAnswer } from "./decide_owner_answer.ts";
export type { KeyLedgerOptions, LedgerRun } from "./key_ledger.ts";
export type {
  LedgerDecision,
  LedgerLookup,
  LedgerRefusal,
  LedgerRequest,
} from "./ledger_decision.ts";
export type {
  ClaimWriteResult,
  QueuedClaimWrite,
} from "./queued_claim_write.ts";
export type { CallProof, RequestFacts, StageFacts } from "./refusal_outcome.ts";
export type {
  KeptResult,
  OversizedResult,
  StoredResult,
} from "./stored_result.ts";
export { formatEpochKey, parseEpochKey } from "./bound_key_epoch.ts";
export { advanceClaim, beginClaim } from "./claim_attempt.ts";
export { ClaimBatcher } from "./claim_batcher.ts";
export { claimKey, CLAIMS_TABLE, parseClaimContent } from "./claim_row.ts";
export { decideClaim } from "./decide_claim.ts";
export { decideOwnerAnswer } from "./decide_owner_answer.ts";
export { KeyLedger } from "./key_ledger.ts";
export { determineRefusalOutcome } from "./refusal_outcome.ts";
