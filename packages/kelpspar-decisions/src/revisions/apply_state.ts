import type { FoundRevision } from "./revision_row.ts";

/** A change that an operator wants accepted. */
export interface ConfigurationChange {
  /** Differs for each change; the same when the same one is tried again. */
  readonly changeId: string;
  /** All else that the rows carry; `revision` and `changeId` are added. */
  readonly fields: Readonly<Record<string, unknown>>;
  /** The revision that the operator built on; a higher one is a conflict. */
  readonly expectedRevision?: number;
}

/** How an apply ended. */
export type ApplyOutcome =
  /** In force from now on, and never reverted. */
  | { readonly type: "accepted"; readonly revision: number }
  /** Another change came first; ours never takes effect. */
  | { readonly type: "conflict"; readonly revision: number }
  /** Whether it was or will be accepted is not known: look it up later. */
  | { readonly type: "unconfirmed" }
  /** Proved: the table never received it. */
  | { readonly type: "not_written" };

/** One apply, as an immutable snapshot. */
export interface ApplyAttempt {
  readonly change: ConfigurationChange;
  /** What the change builds on; revision and version 0 for the very first. */
  readonly baseRevision: number;
  readonly baseVersion: number;
  /** True once a write's answer was lost, in this try or an earlier one. */
  readonly mayHaveWritten: boolean;
  /** What the attempt waits for. */
  readonly phase: "writing" | "reading" | "waiting" | "finished";
  /** The revision of the change that came first, while it is confirmed. */
  readonly rivalRevision?: number;
}

/** What happens to an apply. */
export type ApplyEvent =
  | { readonly type: "committed" }
  | {
    readonly type: "conflict";
    /** The row `current`, when its condition did not hold. */
    readonly current?: FoundRevision | null;
    /** The history row of our revision, when its condition did not hold. */
    readonly history?: FoundRevision | null;
  }
  /** The write's answer was lost. */
  | { readonly type: "unknown" }
  /** Proved: the write or the read was not received, or was refused. */
  | { readonly type: "unavailable" }
  /** The history row that was asked for; null when there is none. */
  | { readonly type: "history"; readonly found: FoundRevision | null }
  /** The wait that `resend_later` asked for is over. */
  | { readonly type: "resend" }
  /** The operator's patience is over. */
  | { readonly type: "give_up" };

/** One write of the apply's transaction. */
export interface ApplyWrite {
  readonly table: string;
  readonly key: string;
  readonly value: Readonly<Record<string, unknown>>;
  readonly expectedVersion: number;
}

/** What the daemon has to do after an event. */
export type ApplyAction =
  | { readonly type: "commit"; readonly writes: readonly ApplyWrite[] }
  | { readonly type: "read"; readonly table: string; readonly key: string }
  /** Send the event `resend` after a jittered wait. */
  | { readonly type: "resend_later" }
  | { readonly type: "finish"; readonly outcome: ApplyOutcome };

/** A new snapshot and what to do. */
export interface ApplyStep {
  readonly attempt: ApplyAttempt;
  readonly actions: readonly ApplyAction[];
}
