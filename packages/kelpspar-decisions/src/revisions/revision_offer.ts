import type { RevisionRow } from "./revision_row.ts";

/** Source from which a daemon received a revision. */
export type RevisionSource = "table" | "peer" | "boot";

/**
 * A revision with its content. Only accepted revisions are offered: a daemon
 * forwards what the table confirmed or what another daemon offered.
 */
export interface RevisionOffer<Content> extends RevisionRow {
  readonly source: RevisionSource;
  readonly content: Content;
}

/** Result of an offer. */
export type RevisionDecision =
  | { readonly type: "accepted" }
  | {
    readonly type: "ignored";
    /**
     * `diverged`: a different change under a revision that is in force.
     * Impossible while the table meets its guarantees; raise an alarm.
     */
    readonly reason: "known" | "lower" | "diverged" | "malformed";
  };

/**
 * How to handle new requests:
 * - `serve`: accept them.
 * - `hold`: delay them briefly, because a higher revision is being fetched.
 * - `refuse`: refuse them as `no_configuration`, `not_run`, so that callers use
 *   another daemon.
 */
export type ServingMode = "serve" | "hold" | "refuse";
