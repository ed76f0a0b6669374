export type { AdaptiveLimitOptions, LimitSample } from "./adaptive_limit.ts";
export type { CallEnded } from "./call_ended.ts";
export type { CallOutcome } from "./call_outcome.ts";
export type { RegionOfZone } from "./candidate_pool.ts";
export type {
  ChoiceWeights,
  ChooseOptions,
  NoEndpoint,
  PrefixHolders,
} from "./choose_options.ts";
export type {
  ConnectionMonitorOptions,
  SilenceProbe,
  SilenceVerdict,
  StageEffect,
} from "./connection_monitor.ts";
export type {
  CallStarted,
  ListedEndpoint,
  ProbeFailure,
  ReportArrival,
} from "./endpoint_events.ts";
export type { EjectionReason, HealthState } from "./endpoint_health.ts";
export type { EndpointRegistryOptions } from "./endpoint_registry_options.ts";
export type { EndpointStatus } from "./endpoint_status.ts";
export type { IncarnationObservation } from "./incarnation_history.ts";
export type { LeavingSource } from "./leaving_source.ts";
export type {
  LeavingTrackerOptions,
  ListedObservation,
  ReportedObservation,
} from "./leaving_tracker.ts";
export type { OutlierSample } from "./outlier_detector.ts";
export type { OutlierOptions } from "./outlier_options.ts";
export type { PrefixIndexNeed } from "./prefix_index.ts";
export type {
  WatchAssignment,
  WatchAssignmentOptions,
  ZonedNode,
} from "./watch_assignment.ts";
export { AdaptiveLimit } from "./adaptive_limit.ts";
export { chooseEndpoint } from "./choose_endpoint.ts";
export { ConnectionMonitor } from "./connection_monitor.ts";
export { DEFAULT_CHOICE_WEIGHTS } from "./choose_options.ts";
export { EndpointRegistry } from "./endpoint_registry.ts";
export { LeavingTracker } from "./leaving_tracker.ts";
export { OutlierDetector } from "./outlier_detector.ts";
export { DEFAULT_OUTLIER_OPTIONS } from "./outlier_options.ts";
export { PrefixIndex } from "./prefix_index.ts";
export { hashText, rendezvousScore } from "./rendezvous_hash.ts";
export { RendezvousNodes } from "./rendezvous_nodes.ts";
export { SharedRateLimiter } from "./shared_rate_limiter.ts";
export { assignWatches } from "./watch_assignment.ts";
