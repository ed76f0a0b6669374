import type { RevisionRow } from "./revision_row.ts";

/** Where a daemon heard of a revision. */
export type RevisionSource = "table" | "peer" | "boot";

/**
 * A revision with its content. Only accepted revisions are ever offered: a
 * daemon passes on what the table confirmed, or what it was itself offered.
 */
export interface RevisionOffer<Content> extends RevisionRow {
  readonly source: RevisionSource;
  readonly content: Content;
}

/** What became of an offer. */
export type RevisionDecision =
  | { readonly type: "accepted" }
  | {
    readonly type: "ignored";
    /**
     * `diverged`: another change under a revision that is in force. It cannot
     * happen while the table keeps its promises, and calls for an alarm.
     */
    readonly reason: "known" | "lower" | "diverged" | "malformed";
  };

/**
 * What to do with new requests: `serve` them; `hold` them for a moment, since
 * a higher revision exists that is being fetched; or `refuse` them as
 * `no_configuration`, `not_run`, to be sent to another daemon.
 */
export type ServingStance = "serve" | "hold" | "refuse";
