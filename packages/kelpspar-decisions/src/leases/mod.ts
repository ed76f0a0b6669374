export type {
  PlannedEngine,
  PlannerInput,
  PlannerStep,
  PlannerTimes,
  WaitReason,
} from "./engine_plan.ts";
export type { GroupPlan } from "./engine_targets.ts";
export type { FoundLease, LeaseRow } from "./lease_row.ts";
export type {
  HeldLease,
  LeaseAction,
  LeaseEvent,
  LeaseState,
  LeaseStep,
  LeaseWrite,
  ObservedLease,
  TriedLease,
} from "./lease_state.ts";
export type { LeaseTerms } from "./lease_terms.ts";
export {
  grantKey,
  isAsDesired,
  isSameState,
  listMissingWeights,
} from "./engine_match.ts";
export { planEngineTargets } from "./engine_targets.ts";
export {
  advanceLease,
  fencingNumberForOrder,
  watchLease,
} from "./lease_holder.ts";
export { LEASES_TABLE, parseLeaseRow } from "./lease_row.ts";
export { DEFAULT_LEASE_TERMS } from "./lease_terms.ts";
export { planOrders } from "./order_planner.ts";
