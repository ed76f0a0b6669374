import type { Member } from "../membership/mod.ts";
import type { RandomSource } from "kelpspar-shared";
import { entriesOf } from "./directory_entry.ts";
import { drawEntries } from "./draw_entries.ts";

const MOST_ADDRESSES = 4;
const WAIT_MILLISECONDS = 500;

/** What a redirect is made from. */
export interface RedirectOptions {
  readonly members: readonly Member[];
  /** The caller's zone, or that of the daemon that is leaving. */
  readonly availabilityZone: string;
  readonly random: RandomSource;
}

/** Where a caller goes instead; the parts of a failure record. */
export interface Redirect {
  /** Daemons to use, as `address:port`, the first one first. */
  readonly elsewhere: readonly string[];
  /** Set when no other daemon is known: come back after this time. */
  readonly retryAfterMilliseconds?: number;
}

/**
 * What a leaving daemon tells a caller that came with an old answer. Each
 * caller gets another order, since all those of a daemon that leaves come
 * within seconds and would otherwise move on to one and the same.
 */
export function redirectCaller(options: RedirectOptions): Redirect {
  const { members, availabilityZone, random } = options;
  const live = entriesOf(members, "live");
  const known = live.length > 0 ? live : entriesOf(members, "suspect");
  const near = known.filter((one) => one.availabilityZone === availabilityZone);
  const far = known.filter((one) => one.availabilityZone !== availabilityZone);
  const elsewhere = [near, far]
    .flatMap((some) => drawEntries(some, { count: MOST_ADDRESSES, random }))
    .slice(0, MOST_ADDRESSES)
    .map((one) => `${one.address}:${one.port}`);
  if (elsewhere.length > 0) return { elsewhere };
  const retryAfterMilliseconds = WAIT_MILLISECONDS * (1 + random.next());
  return { elsewhere, retryAfterMilliseconds };
}
