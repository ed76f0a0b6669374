export type { ComebackOptions } from "./comeback.ts";
export type { RetryBudgetKey, RetryBudgetOptions } from "./retry_budget.ts";
export type { RetryDecision } from "./retry_decision.ts";
export type { RetrySituation } from "./retry_situation.ts";
export type { SlidingCounterOptions } from "./sliding_counter.ts";
export { comebackMilliseconds } from "./comeback.ts";
export { RetryBudget } from "./retry_budget.ts";
export { decideRetry, isProvedNotRun } from "./retry_decision.ts";
export { SlidingCounter } from "./sliding_counter.ts";
