import type { DaemonAddress } from "./fleet_digest.ts";
import type { Member, MemberRecord } from "./member_record.ts";
import type { SilenceLimits } from "./heartbeat_timeouts.ts";
import { rankByCores } from "./rank_by_cores.ts";

/** Lists of daemons at one moment, worked out once for many questions. */
export interface FleetView {
  readonly at: number;
  readonly heard: readonly Member[];
  /** Those of them that may run stages: heard sooner, and not in doubt. */
  readonly trusted: readonly Member[];
  readonly trustedIds: ReadonlySet<string>;
  /** What `rankTrusted` gave, by its key and this daemon's own state. */
  readonly rankings: Map<string, readonly string[]>;
}

/** What a view is made from. */
export interface FleetViewOptions {
  readonly records: Iterable<MemberRecord>;
  readonly limits: SilenceLimits;
  /** Silence before it doesn't count; monotonic milliseconds. */
  readonly silenceCountsFrom: number;
  readonly now: number;
}

export function createFleetView(options: FleetViewOptions): FleetView {
  const { limits, now } = options;
  const records = [...options.records];
  const undoubted = records.filter((one) => one.doubtedAt <= one.heardAt);
  const trusted = within(undoubted, limits.stalled, options);
  return {
    at: now,
    heard: within(records, limits.silent, options),
    trusted,
    trustedIds: new Set(trusted.map((one) => one.address.daemonId)),
    rankings: new Map<string, readonly string[]>(),
  };
}

function within(
  records: readonly MemberRecord[],
  milliseconds: number,
  { silenceCountsFrom, now }: FleetViewOptions,
): readonly Member[] {
  return records.flatMap(({ address, heartbeat, heardAt }) => {
    const isUnknown = heartbeat === undefined ||
      heardAt === Number.NEGATIVE_INFINITY;
    if (isUnknown) return [];
    const since = Math.max(heardAt, silenceCountsFrom);
    return now - since <= milliseconds ? [{ address, heartbeat }] : [];
  });
}

/** Trusted daemons and this one, those with a fresh store first. */
export function rankTrusted(
  key: string,
  { self, isStoreFresh, view }: {
    readonly self: DaemonAddress;
    readonly isStoreFresh: boolean;
    readonly view: FleetView;
  },
): readonly string[] {
  const others = view.trusted.filter(({ heartbeat }) =>
    heartbeat.isReady && !heartbeat.isLeaving
  );
  const all = [
    { address: self, isStoreFresh },
    ...others.map(({ address, heartbeat }) => ({
      address,
      isStoreFresh: heartbeat.isStoreFresh,
    })),
  ];
  const fresh = all.filter((one) => one.isStoreFresh);
  const stale = all.filter((one) => !one.isStoreFresh);
  return [fresh, stale].flatMap((group) =>
    rankByCores(key, group.map((one) => one.address))
  );
}
