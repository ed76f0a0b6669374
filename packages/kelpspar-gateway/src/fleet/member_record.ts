import type { DaemonAddress, Heartbeat } from "./fleet_digest.ts";
import type { DaemonKey, PackedHeartbeat } from "./packed_heartbeats.ts";
import { daemonKey } from "./packed_heartbeats.ts";

/** What a daemon says of itself now. */
export type OwnState = Pick<
  Heartbeat,
  "isLeaving" | "isReady" | "isStoreFresh"
>;

/** A daemon that is heard. */
export interface Member {
  readonly address: DaemonAddress;
  readonly heartbeat: OwnState;
}

/** What is known of another daemon; times are monotonic milliseconds. */
export interface MemberRecord {
  readonly key: DaemonKey;
  address: DaemonAddress;
  heartbeat: PackedHeartbeat | undefined;
  /** When its heartbeat last moved on, as seen here. */
  heardAt: number;
  /** When a call to it last failed; what it said before doesn't count. */
  doubtedAt: number;
  /** Lives that were replaced by a later one. */
  readonly retired: Set<string>;
  readonly knownSince: number;
}

export function createRecord(
  address: DaemonAddress,
  now: number,
): MemberRecord {
  return {
    key: daemonKey(address.daemonId),
    address,
    heartbeat: undefined,
    heardAt: Number.NEGATIVE_INFINITY,
    doubtedAt: Number.NEGATIVE_INFINITY,
    retired: new Set<string>(),
    knownSince: now,
  };
}
