export type {
  AccountUsage,
  DaemonDigest,
  RelayedReport,
} from "./daemon_digest.ts";
export type { DaemonMembershipOptions } from "./daemon_membership.ts";
export type { DigestCounts } from "./digest_budget.ts";
export type { EndpointLoads } from "./endpoint_loads.ts";
export type { Member, MemberState } from "./member.ts";
export type { ListedDaemon, SilenceLimits } from "./member_record.ts";
export type { NewestStatements, Sequenced } from "./newest_merge.ts";
export type { ModelLoad, ZoneAggregate } from "./zone_aggregate.ts";
export { DaemonMembership } from "./daemon_membership.ts";
export { digestInterval, estimateDigestBytes } from "./digest_budget.ts";
export { NO_ENDPOINT_LOADS } from "./endpoint_loads.ts";
export { collectNewest, mergeNewest } from "./newest_merge.ts";
export { chooseZoneAggregates, sumModelLoads } from "./zone_aggregate.ts";
