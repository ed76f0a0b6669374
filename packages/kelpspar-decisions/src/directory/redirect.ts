import type { Member } from "../membership/mod.ts";
import type { RandomSource } from "kelpspar-shared";
import { listFreshEntries } from "./directory_entry.ts";
import { sampleEntries } from "./sample_entries.ts";

const MAXIMUM_ADDRESSES = 4;
const RETRY_AFTER_MILLISECONDS = 500;

/** Inputs of `redirectCaller`. */
export interface RedirectOptions {
  readonly members: readonly Member[];
  /** The caller's zone, or that of the daemon that is leaving. */
  readonly availabilityZone: string;
  readonly random: RandomSource;
}

/** Daemons to use instead; the fields of a failure record. */
export interface Redirect {
  /** Daemons to use, as `address:port`, in order of preference. */
  readonly elsewhere: readonly string[];
  /** Set when no other daemon is known: retry after this time. */
  readonly retryAfterMilliseconds?: number;
}

/**
 * Redirects a caller that uses a leaving daemon because of a stale answer. The
 * order is random for each caller: all callers of a leaving daemon arrive
 * within seconds and would otherwise move to the same daemon.
 */
export function redirectCaller(options: RedirectOptions): Redirect {
  const { members, availabilityZone, random } = options;
  const live = listFreshEntries(members, "live");
  const candidates = live.length > 0
    ? live
    : listFreshEntries(members, "suspect");
  const sameZone = candidates.filter((entry) =>
    entry.availabilityZone === availabilityZone
  );
  const otherZones = candidates.filter((entry) =>
    entry.availabilityZone !== availabilityZone
  );
  const elsewhere = [sameZone, otherZones]
    .flatMap((entries) =>
      sampleEntries(entries, { count: MAXIMUM_ADDRESSES, random })
    )
    .slice(0, MAXIMUM_ADDRESSES)
    .map((entry) => `${entry.address}:${entry.port}`);
  if (elsewhere.length > 0) return { elsewhere };
  const retryAfterMilliseconds = RETRY_AFTER_MILLISECONDS * (1 + random.next());
  return { elsewhere, retryAfterMilliseconds };
}
