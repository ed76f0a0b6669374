import type { Heartbeat } from "./fleet_digest.ts";
import { hashText } from "kelpspar-decisions/routing";

/** Stands for a daemon's name in a digest. */
export type DaemonKey = number;

/** A heartbeat as it is packed: names and lives by their hashes. */
export interface PackedHeartbeat extends Omit<Heartbeat, "daemonId"> {
  readonly key: DaemonKey;
}

const NAME_BYTES = 5;
const LIFE_BYTES = 3;
const SEQUENCE_BYTES = 3;
const FLAG_BYTES = 1;
const HEARTBEAT_BYTES = NAME_BYTES + LIFE_BYTES + SEQUENCE_BYTES + FLAG_BYTES;
const SEQUENCES = 2 ** (8 * SEQUENCE_BYTES);
const LIVES = 2 ** (8 * LIFE_BYTES);
/** A second hash takes the place of the bits that one lacks. */
const SECOND_HASH_VALUES = 2 ** 8;

const LEAVING = 1;
const READY = 2;
const STORE_FRESH = 4;

/** 40 bits, so that two of some hundred daemons never share one in practice. */
export function daemonKey(daemonId: string): DaemonKey {
  const second = hashText(`second ${daemonId}`) % SECOND_HASH_VALUES;
  return hashText(daemonId) * SECOND_HASH_VALUES + second;
}

/** How a life is named once it was packed; the same for every daemon. */
export function packedLife(incarnation: string): string {
  return (hashText(incarnation) % LIVES).toString(16);
}

/** Whether a sequence is after another; they are counted round and round. */
export function isLaterSequence(sequence: number, than: number): boolean {
  const ahead = (sequence - than + SEQUENCES) % SEQUENCES;
  return ahead > 0 && ahead < SEQUENCES / 2;
}

/**
 * Packs heartbeats to 16 characters each: they are nearly all that daemons of a
 * large fleet send one another.
 */
export function packHeartbeats(heartbeats: readonly PackedHeartbeat[]): string {
  const bytes = Buffer.allocUnsafe(heartbeats.length * HEARTBEAT_BYTES);
  let at = 0;
  for (const one of heartbeats) {
    at = bytes.writeUIntBE(one.key, at, NAME_BYTES);
    at = bytes.writeUIntBE(parseInt(one.incarnation, 16), at, LIFE_BYTES);
    at = bytes.writeUIntBE(one.sequence % SEQUENCES, at, SEQUENCE_BYTES);
    at = bytes.writeUInt8(flagsOf(one), at);
  }
  return bytes.toString("base64");
}

/** Unpacks heartbeats; what is left of one that was cut is dropped. */
export function unpackHeartbeats(text: string): readonly PackedHeartbeat[] {
  const bytes = Buffer.from(text, "base64");
  const heartbeats: PackedHeartbeat[] = [];
  for (
    let at = 0;
    at + HEARTBEAT_BYTES <= bytes.length;
    at += HEARTBEAT_BYTES
  ) {
    const life = at + NAME_BYTES;
    const sequence = life + LIFE_BYTES;
    const flags = bytes.readUInt8(sequence + SEQUENCE_BYTES);
    heartbeats.push({
      key: bytes.readUIntBE(at, NAME_BYTES),
      incarnation: bytes.readUIntBE(life, LIFE_BYTES).toString(16),
      sequence: bytes.readUIntBE(sequence, SEQUENCE_BYTES),
      isLeaving: (flags & LEAVING) !== 0,
      isReady: (flags & READY) !== 0,
      isStoreFresh: (flags & STORE_FRESH) !== 0,
    });
  }
  return heartbeats;
}

/** Those of `heartbeats` that `packed` lacks, or has older ones of. */
export function lackingHeartbeats(
  heartbeats: readonly PackedHeartbeat[],
  packed: string,
): readonly PackedHeartbeat[] {
  const known = new Map(
    unpackHeartbeats(packed).map((one) => [one.key, one]),
  );
  return heartbeats.filter((one) => {
    const told = known.get(one.key);
    return told?.incarnation !== one.incarnation ||
      isLaterSequence(one.sequence, told.sequence);
  });
}

function flagsOf(one: PackedHeartbeat): number {
  return (one.isLeaving ? LEAVING : 0) + (one.isReady ? READY : 0) +
    (one.isStoreFresh ? STORE_FRESH : 0);
}
