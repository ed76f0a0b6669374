import type { DaemonAddress } from "./fleet_digest.ts";
import type { Member, MemberRecord } from "./member_record.ts";
import type { HeartbeatTimeouts } from "./heartbeat_timeouts.ts";
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

/** Ranks trusted daemons and this one; those with a fresh store come first. */
export function rankTrusted(
  key: string,
  { self, isStoreFresh, view }: {
    readonly self: DaemonAddress;
    readonly isStoreFresh: boolean;
    readonly view: FleetView;
  },
): readonly string[] {
  const others = view.trustedMembers.filter(({ heartbeat }) =>
    heartbeat.isReady && !heartbeat.isLeaving
  );
  const candidates = [
    { address: self, isStoreFresh },
    ...others.map(({ address, heartbeat }) => ({
      address,
      isStoreFresh: heartbeat.isStoreFresh,
    })),
  ];
  const fresh = candidates.filter((candidate) => candidate.isStoreFresh);
  const stale = candidates.filter((candidate) => !candidate.isStoreFresh);
  return [fresh, stale].flatMap((group) =>
    rankByCores(key, group.map((candidate) => candidate.address))
  );
}
