import type { DaemonAddress } from "./fleet_digest.ts";
import type { CoordinationState } from "./coordination_tier.ts";
import type { Member, MemberRecord } from "./member_record.ts";
import type { HeartbeatTimeouts } from "./heartbeat_timeouts.ts";
import { COORDINATION_TIERS, coordinationTier } from "./coordination_tier.ts";
import { rankByCores } from "./rank_by_cores.ts";

/** Snapshot of the live daemons at one time, shared by many queries. */
export interface FleetView {
  readonly at: number;
  readonly liveMembers: readonly Member[];
  /**
   * Live daemons that may run stages: within the shorter timeout, and without a
   * failed call since their last heartbeat.
   */
  readonly trustedMembers: readonly Member[];
  readonly trustedIds: ReadonlySet<string>;
  /** Cached results of `rankTrusted` by key and this daemon's own state. */
  readonly rankings: Map<string, readonly string[]>;
}

/** Inputs of `createFleetView`. */
export interface FleetViewOptions {
  readonly records: Iterable<MemberRecord>;
  readonly limits: HeartbeatTimeouts;
  /** Silence before this time doesn't count; monotonic milliseconds. */
  readonly silenceCountsFrom: number;
  readonly now: number;
}

export function createFleetView(options: FleetViewOptions): FleetView {
  const { limits, now } = options;
  const records = [...options.records];
  const unsuspected = records.filter((record) =>
    record.suspectedAt <= record.lastHeartbeatAt
  );
  const trustedMembers = membersWithinTimeout(
    unsuspected,
    limits.stalled,
    options,
  );
  return {
    at: now,
    liveMembers: membersWithinTimeout(records, limits.silent, options),
    trustedMembers,
    trustedIds: new Set(
      trustedMembers.map((member) => member.address.daemonId),
    ),
    rankings: new Map<string, readonly string[]>(),
  };
}

function membersWithinTimeout(
  records: readonly MemberRecord[],
  milliseconds: number,
  { silenceCountsFrom, now }: FleetViewOptions,
): readonly Member[] {
  return records.flatMap(({ address, heartbeat, lastHeartbeatAt }) => {
    const hasNoHeartbeat = heartbeat === undefined ||
      lastHeartbeatAt === Number.NEGATIVE_INFINITY;
    if (hasNoHeartbeat) return [];
    const since = Math.max(lastHeartbeatAt, silenceCountsFrom);
    return now - since <= milliseconds ? [{ address, heartbeat }] : [];
  });
}

/** Inputs of `rankTrusted`. */
export interface RankTrustedOptions {
  readonly self: DaemonAddress;
  readonly own: CoordinationState;
  readonly view: FleetView;
}

/** Ranks trusted daemons and this one by tier, then by cores and key. */
export function rankTrusted(
  key: string,
  { self, own, view }: RankTrustedOptions,
): readonly string[] {
  const others = view.trustedMembers.filter(({ heartbeat }) =>
    heartbeat.isReady && !heartbeat.isLeaving
  );
  const candidates = [
    { address: self, tier: coordinationTier(own) },
    ...others.map(({ address, heartbeat }) => ({
      address,
      tier: coordinationTier(heartbeat),
    })),
  ];
  const tiers = Array.from(
    { length: COORDINATION_TIERS },
    (_, tier) => candidates.filter((candidate) => candidate.tier === tier),
  );
  return tiers.flatMap((group) =>
    rankByCores(key, group.map(({ address }) => address))
  );
}
