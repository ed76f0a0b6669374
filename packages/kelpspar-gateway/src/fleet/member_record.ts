import type { DaemonAddress, Heartbeat } from "./fleet_digest.ts";
import type { DaemonKey, PackedHeartbeat } from "./packed_heartbeats.ts";
import { daemonKey } from "./packed_heartbeats.ts";

/** State that a daemon reports about itself. */
export type OwnState = Pick<
  Heartbeat,
  "isLeaving" | "isReady" | "isStoreFresh" | "isIsolated"
>;

/** A live daemon. */
export interface Member {
  readonly address: DaemonAddress;
  readonly heartbeat: OwnState;
}

/** Record of another daemon; times are monotonic milliseconds. */
export interface MemberRecord {
  readonly key: DaemonKey;
  address: DaemonAddress;
  heartbeat: PackedHeartbeat | undefined;
  /** When a newer heartbeat of the daemon last arrived here. */
  lastHeartbeatAt: number;
  /** When a call to it last failed; earlier heartbeats don't count. */
  suspectedAt: number;
  /** When it was first heard that it leaves; undefined if it stays. */
  leavingSince: number | undefined;
  /** Incarnations that a later one replaced. */
  readonly retiredIncarnations: Set<string>;
  readonly knownSince: number;
}

export function createMemberRecord(
  address: DaemonAddress,
  now: number,
): MemberRecord {
  return {
    key: daemonKey(address.daemonId),
    address,
    heartbeat: undefined,
    lastHeartbeatAt: Number.NEGATIVE_INFINITY,
    suspectedAt: Number.NEGATIVE_INFINITY,
    leavingSince: undefined,
    retiredIncarnations: new Set<string>(),
    knownSince: now,
  };
}
