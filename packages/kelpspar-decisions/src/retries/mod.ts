export type { RetryDelayOptions } from "./retry_delay.ts";
export type { RetryBudgetKey, RetryBudgetOptions } from "./retry_budget.ts";
export type { RetryDecision } from "./retry_decision.ts";
export type { RetryContext } from "./retry_context.ts";
export type { SlidingWindowCounterOptions } from "./sliding_window_counter.ts";
export type {
  RetryLimits,
  SlackLedger,
  SlackLoan,
  SlackRequest,
  SlackReservation,
} from "./slack_ledger.ts";
export { EarnedCredits } from "./earned_credits.ts";
export type { Loan } from "./loan_pool.ts";
export { LoanPool, sumLoans } from "./loan_pool.ts";
export { creditCapacity, lendableSlack, reserveSlack } from "./slack_ledger.ts";
export { retryDelayMilliseconds } from "./retry_delay.ts";
export { RetryBudget } from "./retry_budget.ts";
export { decideRetry, isProvenNotRun } from "./retry_decision.ts";
export { SlidingWindowCounter } from "./sliding_window_counter.ts";
