import type { FoundRevision } from "./revision_row.ts";

/** A configuration change submitted by an operator. */
export interface ConfigurationChange {
  /** Unique per change; a retry of the same change uses the same id. */
  readonly changeId: string;
  /** Other fields of the rows; `revision` and `changeId` are added. */
  readonly fields: Readonly<Record<string, unknown>>;
  /**
   * Revision that the change is based on; any other current revision is a
   * conflict.
   */
  readonly expectedRevision?: number;
}

/** Outcome of an apply. */
export type ApplyOutcome =
  /** The change is in force and is never reverted. */
  | { readonly type: "accepted"; readonly revision: number }
  /** Another change was accepted first; this one never takes effect. */
  | { readonly type: "conflict"; readonly revision: number }
  /** Unknown whether the change was or will be accepted; look it up later. */
  | { readonly type: "unconfirmed" }
  /** Proof that the table never received the change. */
  | { readonly type: "not_written" };

/** Immutable state of one apply. */
export interface ApplyAttempt {
  readonly change: ConfigurationChange;
  /** Base of the change; revision and version are 0 for the first change. */
  readonly baseRevision: number;
  readonly baseVersion: number;
  /**
   * True once the answer to a write was lost, in this attempt or an earlier
   * one.
   */
  readonly mayHaveWritten: boolean;
  /** What the attempt is waiting for. */
  readonly phase: "writing" | "reading" | "waiting" | "finished";
  /** Revision of a competing change, while it is being confirmed. */
  readonly competingRevision?: number;
}

/** Events of an apply. */
export type ApplyEvent =
  | { readonly type: "committed" }
  | {
    readonly type: "conflict";
    /** The row `current`, if its condition failed. */
    readonly current?: FoundRevision | null;
    /** The history row of our revision, if its condition failed. */
    readonly history?: FoundRevision | null;
  }
  /** The answer to the write was lost. */
  | { readonly type: "unknown" }
  /** Proof that the write or the read was not received or was refused. */
  | { readonly type: "unavailable" }
  /** The requested history row; null if it is absent. */
  | { readonly type: "history"; readonly found: FoundRevision | null }
  /** The wait requested by `resend_later` has elapsed. */
  | { readonly type: "resend" }
  /** The operator's wait limit has expired. */
  | { readonly type: "give_up" };

/** One write of an apply's transaction. */
export interface ApplyWrite {
  readonly table: string;
  readonly key: string;
  readonly value: Readonly<Record<string, unknown>>;
  readonly expectedVersion: number;
}

/** Action required after an event. */
export type ApplyAction =
  | { readonly type: "commit"; readonly writes: readonly ApplyWrite[] }
  | { readonly type: "read"; readonly table: string; readonly key: string }
  /** Send the event `resend` after a jittered wait. */
  | { readonly type: "resend_later" }
  | { readonly type: "finish"; readonly outcome: ApplyOutcome };

/** New state and the actions to perform. */
export interface ApplyStep {
  readonly attempt: ApplyAttempt;
  readonly actions: readonly ApplyAction[];
}
