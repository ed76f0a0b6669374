import type { Member } from "../membership/mod.ts";

/** A daemon that can be listed in an answer to callers. */
export interface DirectoryEntry {
  readonly address: string;
  readonly port: number;
  readonly availabilityZone: string;
  readonly incarnation: string;
  readonly keyEpoch: number;
  /** Share of its capacity that is free, 0 to 1. */
  readonly spareShare: number;
}

/** Silence after which a digest's spare capacity is stale. */
const MAXIMUM_SILENCE_MILLISECONDS = 30_000;

/** Returns the members in `state` whose digests are fresh enough to list. */
export function listFreshEntries(
  members: readonly Member[],
  state: "live" | "suspect",
): readonly DirectoryEntry[] {
  const entries: DirectoryEntry[] = [];
  for (const { state: actual, digest, silenceMilliseconds = 0 } of members) {
    if (actual !== state || digest === undefined) continue;
    if (silenceMilliseconds > MAXIMUM_SILENCE_MILLISECONDS) continue;
    entries.push(digest);
  }
  return entries;
}
