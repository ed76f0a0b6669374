export type { AccountBacklog, FairQueueOptions } from "./fair_queue.ts";
export type { CallChargeOptions } from "./call_charge.ts";
export type {
  CallCost,
  CostEstimatorOptions,
  CostKey,
} from "./cost_estimator.ts";
export type {
  AccountDemand,
  DemandDigest,
  DemandSummary,
  ServiceDemand,
} from "./demand_digest.ts";
export type { EnqueueResult, QueueTicket } from "./enqueue_result.ts";
export type { FleetShares, FleetSharesInput } from "./fleet_shares.ts";
export type { FleetViewOptions } from "./fleet_view.ts";
export type { QueueBounds } from "./queue_bounds.ts";
export type { QueueRequest } from "./queue_request.ts";
export type { DequeuedItem, ExpiredItem } from "./queued_item.ts";
export { SMALLEST_WEIGHT } from "./account_weights.ts";
export { CallCharge } from "./call_charge.ts";
export { CostEstimator } from "./cost_estimator.ts";
export { FairQueue } from "./fair_queue.ts";
export { computeFleetShares } from "./fleet_shares.ts";
export { FleetView } from "./fleet_view.ts";
export {
  EMPTY_DEMAND,
  findServiceDemand,
  mergeDemand,
} from "./merge_demand.ts";
export { SlotThroughput } from "./slot_throughput.ts";
export { DEFAULT_QUEUE_BOUNDS } from "./queue_bounds.ts";
