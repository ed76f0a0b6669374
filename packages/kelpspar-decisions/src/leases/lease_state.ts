import type { FoundLease, LeaseRow } from "./lease_row.ts";
import type { LeaseTerms } from "./lease_terms.ts";

/** A row and since when this daemon has seen it unchanged. */
export interface SeenLease {
  /** Null when the group never had a lease. */
  readonly found: FoundLease | null;
  /** On this daemon's own monotonic clock. */
  readonly firstSeenAt: number;
}

/** A write that is on its way. */
export interface LeaseWrite {
  readonly kind: "acquire" | "renew" | "release";
  readonly row: LeaseRow;
  /** Monotonic milliseconds, taken before the write was sent. */
  readonly sentAt: number;
  /** True when the lease was dropped since: the answer gains nothing. */
  readonly isVoid: boolean;
}

/** An acquisition that may have taken effect. */
export interface TriedLease {
  readonly fencingNumber: number;
  /** When it was first sent. */
  readonly sentAt: number;
}

/** A lease that is held. */
export interface HeldLease {
  readonly fencingNumber: number;
  readonly version: number;
  /** Monotonic milliseconds; counted from before the write was sent. */
  readonly heldUntil: number;
  /** When the lease is to be renewed next. */
  readonly renewAt: number;
}

/** One daemon's view of one group's lease, as an immutable snapshot. */
export interface LeaseState {
  readonly holder: string;
  readonly terms: LeaseTerms;
  readonly isStopping: boolean;
  readonly lastTickAt: number;
  /** The wall clock minus the monotonic one at the last tick. */
  readonly clockOffset?: number;
  /** When the row was last asked for. */
  readonly askedAt?: number;
  readonly seen?: SeenLease;
  readonly writing?: LeaseWrite;
  readonly tried?: TriedLease;
  readonly held?: HeldLease;
}

/** What happens to a lease; `now` is monotonic milliseconds. */
export type LeaseEvent =
  | {
    readonly type: "tick";
    readonly now: number;
    /** Compared only with this process's own, to notice a suspended VM. */
    readonly wallClock?: number;
  }
  /** The row was read. */
  | {
    readonly type: "seen";
    readonly now: number;
    readonly found: FoundLease | null;
  }
  | {
    readonly type: "committed";
    readonly now: number;
    readonly version: number;
  }
  | {
    readonly type: "conflict";
    readonly now: number;
    readonly found: FoundLease | null;
  }
  /** The write's answer was lost. */
  | { readonly type: "unknown"; readonly now: number }
  /** Proved: the write was not received, or was refused. */
  | { readonly type: "unavailable"; readonly now: number }
  /**
   * Give the lease back on the next tick. To be sent only when no order is on
   * its way, since the next holder does not wait.
   */
  | { readonly type: "stop"; readonly now: number };

/** What the daemon has to do after an event. */
export type LeaseAction =
  | { readonly type: "read" }
  | {
    readonly type: "write";
    readonly row: LeaseRow;
    /** 0 for a row that must be absent. */
    readonly expectedVersion: number;
  }
  | { readonly type: "gained"; readonly fencingNumber: number }
  | { readonly type: "lost" };

/** A new snapshot and what to do. */
export interface LeaseStep {
  readonly state: LeaseState;
  readonly actions: readonly LeaseAction[];
}
