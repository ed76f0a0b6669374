/** Why a call is not hedged. */
export type HedgeObstacle =
  | "not_repeatable"
  | "streaming"
  | "too_few_samples"
  | "not_late"
  | "no_time_left"
  | "no_other_endpoint"
  | "saturated"
  | "budget_spent";

/** Whether to send the call again, to another endpoint. */
export type HedgeDecision =
  | { readonly hedge: true }
  | { readonly hedge: false; readonly obstacle: HedgeObstacle };
