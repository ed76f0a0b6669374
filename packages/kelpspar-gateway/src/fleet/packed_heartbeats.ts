import type { Heartbeat } from "./fleet_digest.ts";
import { hashText } from "kelpspar-decisions/routing";

/** Hash that identifies a daemon in a digest. */
export type DaemonKey = number;

/** A heartbeat as packed, with hashes for the daemon's name and incarnation. */
export interface PackedHeartbeat extends Omit<Heartbeat, "daemonId"> {
  readonly key: DaemonKey;
}

const DAEMON_KEY_BYTES = 5;
const INCARNATION_BYTES = 3;
const SEQUENCE_BYTES = 3;
const FLAGS_BYTES = 1;
const HEARTBEAT_BYTES = DAEMON_KEY_BYTES + INCARNATION_BYTES + SEQUENCE_BYTES +
  FLAGS_BYTES;
const SEQUENCE_COUNT = 2 ** (8 * SEQUENCE_BYTES);
const INCARNATION_COUNT = 2 ** (8 * INCARNATION_BYTES);
/** A second hash supplies the bits beyond the 32 bits of the first. */
const SECOND_HASH_VALUES = 2 ** 8;

const LEAVING_FLAG = 1;
const READY_FLAG = 2;
const STORE_FRESH_FLAG = 4;
const ISOLATED_FLAG = 8;

/**
 * Returns a 40-bit key, which in practice is unique among hundreds of daemons.
 */
export function daemonKey(daemonId: string): DaemonKey {
  const second = hashText(`second ${daemonId}`) % SECOND_HASH_VALUES;
  return hashText(daemonId) * SECOND_HASH_VALUES + second;
}

/** Returns the packed form of an incarnation, the same at every daemon. */
export function packIncarnation(incarnation: string): string {
  return (hashText(incarnation) % INCARNATION_COUNT).toString(16);
}

/** Whether `sequence` is later than `than`; sequence numbers wrap around. */
export function isLaterSequence(sequence: number, than: number): boolean {
  const ahead = (sequence - than + SEQUENCE_COUNT) % SEQUENCE_COUNT;
  return ahead > 0 && ahead < SEQUENCE_COUNT / 2;
}

/**
 * Packs heartbeats to 16 characters each, because they make up nearly all
 * traffic between the daemons of a large fleet.
 */
export function packHeartbeats(heartbeats: readonly PackedHeartbeat[]): string {
  const bytes = Buffer.allocUnsafe(heartbeats.length * HEARTBEAT_BYTES);
  let at = 0;
  for (const heartbeat of heartbeats) {
    at = bytes.writeUIntBE(heartbeat.key, at, DAEMON_KEY_BYTES);
    at = bytes.writeUIntBE(
      parseInt(heartbeat.incarnation, 16),
      at,
      INCARNATION_BYTES,
    );
    at = bytes.writeUIntBE(
      heartbeat.sequence % SEQUENCE_COUNT,
      at,
      SEQUENCE_BYTES,
    );
    at = bytes.writeUInt8(packFlags(heartbeat), at);
  }
  return bytes.toString("base64");
}

/** Unpacks heartbeats; drops a truncated last heartbeat. */
export function unpackHeartbeats(text: string): readonly PackedHeartbeat[] {
  const bytes = Buffer.from(text, "base64");
  const heartbeats: PackedHeartbeat[] = [];
  for (
    let at = 0;
    at + HEARTBEAT_BYTES <= bytes.length;
    at += HEARTBEAT_BYTES
  ) {
    const incarnation = at + DAEMON_KEY_BYTES;
    const sequence = incarnation + INCARNATION_BYTES;
    const flags = bytes.readUInt8(sequence + SEQUENCE_BYTES);
    heartbeats.push({
      key: bytes.readUIntBE(at, DAEMON_KEY_BYTES),
      incarnation: bytes.readUIntBE(incarnation, INCARNATION_BYTES).toString(
        16,
      ),
      sequence: bytes.readUIntBE(sequence, SEQUENCE_BYTES),
      isLeaving: (flags & LEAVING_FLAG) !== 0,
      isReady: (flags & READY_FLAG) !== 0,
      isStoreFresh: (flags & STORE_FRESH_FLAG) !== 0,
      isIsolated: (flags & ISOLATED_FLAG) !== 0,
    });
  }
  return heartbeats;
}

/** Returns the `heartbeats` that are missing from `packed` or older there. */
export function missingHeartbeats(
  heartbeats: readonly PackedHeartbeat[],
  packed: string,
): readonly PackedHeartbeat[] {
  const known = new Map(
    unpackHeartbeats(packed).map((heartbeat) => [heartbeat.key, heartbeat]),
  );
  return heartbeats.filter((heartbeat) => {
    const told = known.get(heartbeat.key);
    return told?.incarnation !== heartbeat.incarnation ||
      isLaterSequence(heartbeat.sequence, told.sequence);
  });
}

function packFlags(heartbeat: PackedHeartbeat): number {
  return (heartbeat.isLeaving ? LEAVING_FLAG : 0) +
    (heartbeat.isReady ? READY_FLAG : 0) +
    (heartbeat.isStoreFresh ? STORE_FRESH_FLAG : 0) +
    (heartbeat.isIsolated ? ISOLATED_FLAG : 0);
}
