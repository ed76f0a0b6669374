export type { HedgeCost } from "./hedge_cost.ts";
export type { HedgeDecision, HedgeObstacle } from "./hedge_decision.ts";
export type { HedgePolicyOptions } from "./hedge_policy.ts";
export type { HedgeRequest } from "./hedge_request.ts";
export { HedgePolicy } from "./hedge_policy.ts";
