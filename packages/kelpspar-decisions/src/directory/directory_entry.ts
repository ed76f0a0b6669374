import type { Member } from "../membership/mod.ts";

/** A daemon that a caller could be sent to. */
export interface DirectoryEntry {
  readonly address: string;
  readonly port: number;
  readonly availabilityZone: string;
  readonly incarnation: string;
  readonly keyEpoch: number;
  /** Share of its capacity that is free, 0 to 1. */
  readonly spareShare: number;
}

/** Silence after which a digest says nothing of spare room any more. */
const LONGEST_SILENCE_MILLISECONDS = 30_000;

/** The members in `state` whose digests are fresh enough to be given out. */
export function entriesOf(
  members: readonly Member[],
  state: "live" | "suspect",
): readonly DirectoryEntry[] {
  const entries: DirectoryEntry[] = [];
  for (const { state: actual, digest, silenceMilliseconds = 0 } of members) {
    if (actual !== state || digest === undefined) continue;
    if (silenceMilliseconds > LONGEST_SILENCE_MILLISECONDS) continue;
    entries.push(digest);
  }
  return entries;
}
