export type { BodyLimitReason } from "./body_limit_error.ts";
export type { GuardedAgentOptions } from "./create_guarded_agent.ts";
export type { GuardedPoolOptions } from "./create_guarded_pool.ts";
export type { ConnectOptions, GuardedClientOptions } from "./guarded_client.ts";
export type { MalformedReason } from "./malformed_answer_error.ts";
export type { MalformedListener, ReadEvent } from "./progress_guard.ts";
export type { BodyTimeLimit, ReadBodyOptions } from "./read_body.ts";
export type {
  BudgetTimer,
  CallerBudgetOptions,
  CallerCut,
  OpenHoldingOptions,
} from "./caller_budget.ts";
export type {
  CallerHolding,
  CutReason,
  HoldingState,
} from "./caller_holding.ts";
export type { MemoryShares } from "./memory_shares.ts";
export type {
  BodyFailure,
  ReceiveBodyOptions,
  ReceivedBody,
} from "./receive_body.ts";
export type { ReadHolding } from "./read_holding.ts";
export { isFinalStatus } from "./final_status.ts";
export { BodyLimitError } from "./body_limit_error.ts";
export { CallerBudget, MAXIMUM_SMALL_BYTES } from "./caller_budget.ts";
export { createGuardedAgent } from "./create_guarded_agent.ts";
export { createGuardedPool } from "./create_guarded_pool.ts";
export { GrowingBuffer } from "./growing_buffer.ts";
export { GuardedClient } from "./guarded_client.ts";
export { MalformedAnswerError } from "./malformed_answer_error.ts";
export { MAXIMUM_OVERHEAD_BYTES, ProgressGuard } from "./progress_guard.ts";
export { MAXIMUM_BODY_BYTES, readBody } from "./read_body.ts";
export { shareMemory } from "./memory_shares.ts";
export { PROCESS_READ_BUDGET } from "./process_read_budget.ts";
export { receiveBody } from "./receive_body.ts";
export { ReadBudget } from "./read_budget.ts";
