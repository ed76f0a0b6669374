import type { FoundLease, LeaseRow } from "./lease_row.ts";
import type { LeaseTerms } from "./lease_terms.ts";

/** A row and the time since which this daemon has observed it unchanged. */
export interface ObservedLease {
  /** Null if the group never had a lease. */
  readonly found: FoundLease | null;
  /** Monotonic milliseconds of this daemon. */
  readonly unchangedSince: number;
}

/** A write without an answer yet. */
export interface LeaseWrite {
  readonly kind: "acquire" | "renew" | "release";
  readonly row: LeaseRow;
  /** Monotonic milliseconds, read before the write was sent. */
  readonly sentAt: number;
  /**
   * True if the lease was dropped since, so that the answer must not confirm
   * it.
   */
  readonly isObsolete: boolean;
}

/** An acquisition that may have taken effect. */
export interface TriedLease {
  readonly fencingNumber: number;
  /** When the acquisition was first sent. */
  readonly sentAt: number;
}

/** A lease held by this daemon. */
export interface HeldLease {
  readonly fencingNumber: number;
  readonly version: number;
  /** Monotonic milliseconds, counted from before the write was sent. */
  readonly expiresAt: number;
  /** When to renew the lease next. */
  readonly renewAt: number;
}

/** One daemon's view of one group's lease, as an immutable snapshot. */
export interface LeaseState {
  readonly holder: string;
  readonly terms: LeaseTerms;
  readonly isStopping: boolean;
  readonly lastTickAt: number;
  /** Wall clock minus monotonic clock at the last tick. */
  readonly clockOffset?: number;
  /** When the row was last requested. */
  readonly readRequestedAt?: number;
  readonly observed?: ObservedLease;
  readonly pendingWrite?: LeaseWrite;
  readonly tried?: TriedLease;
  readonly held?: HeldLease;
}

/** Events of a lease; `now` is in monotonic milliseconds. */
export type LeaseEvent =
  | {
    readonly type: "tick";
    readonly now: number;
    /** Compared only within this process, to detect a VM suspension. */
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
  /** The answer to the write was lost. */
  | { readonly type: "unknown"; readonly now: number }
  /** Proof that the write was not received or was refused. */
  | { readonly type: "unavailable"; readonly now: number }
  /**
   * Release the lease on the next tick. Send this only when no order is in
   * transit, because the next holder does not wait.
   */
  | { readonly type: "stop"; readonly now: number };

/** Action required after an event. */
export type LeaseAction =
  | { readonly type: "read" }
  | {
    readonly type: "write";
    readonly row: LeaseRow;
    /** 0 if the row must be absent. */
    readonly expectedVersion: number;
  }
  | { readonly type: "gained"; readonly fencingNumber: number }
  | { readonly type: "lost" };

/** New state and the actions to perform. */
export interface LeaseStep {
  readonly state: LeaseState;
  readonly actions: readonly LeaseAction[];
}
