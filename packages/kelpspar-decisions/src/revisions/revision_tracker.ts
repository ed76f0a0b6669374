import type {
  RevisionDecision,
  RevisionOffer,
  ServingMode,
} from "./revision_offer.ts";
import { isRevision } from "./revision_row.ts";

const DEFAULT_HOLD_MILLISECONDS = 500;

/** Options of `RevisionTracker`. */
export interface RevisionTrackerOptions {
  /**
   * How long new requests wait for a missing revision, milliseconds; default
   * 500.
   */
  readonly holdMilliseconds?: number;
}

/** A revision that is known to exist but is missing at this daemon. */
export interface MissingRevision {
  readonly revision: number;
  /** When the daemon started waiting for it, monotonic milliseconds. */
  readonly since: number;
  /**
   * Daemons that announced it and can provide it; the last few, newest first.
   */
  readonly announcers: readonly string[];
}

const MAXIMUM_ANNOUNCERS = 4;

/**
 * Tracks the revision that a daemon serves. It never decreases.
 *
 * Guards against a daemon that returns to an older configuration because offers
 * from the table, peers and boot overtake one another. The symptom is a change
 * that was in force and no longer is.
 *
 * A daemon that knows of a higher revision without its content stops accepting
 * new requests immediately. It holds them briefly, because the announcing
 * daemon has the content and a fetch takes milliseconds. After that it refuses
 * them as `not_run`, since other daemons can serve them under the right
 * revision. Serving the lower revision would undo, for some callers, a change
 * that operators have seen in force. The cost: if every daemon that has the
 * content dies before any other fetched it while the store is down, the others
 * refuse requests until one of them returns. Announcements should therefore
 * include the content of the revision. In-flight requests finish under the
 * revision they started with.
 *
 * Source: the brief, "What must always hold" (an accepted configuration never
 * reverts).
 */
export class RevisionTracker<Content> {
  readonly #holdMilliseconds: number;
  #current: RevisionOffer<Content> | undefined;
  #missing: MissingRevision | undefined;

  constructor(options: RevisionTrackerOptions = {}) {
    this.#holdMilliseconds = options.holdMilliseconds ??
      DEFAULT_HOLD_MILLISECONDS;
  }

  /** Revision in force at this daemon; undefined before the first. */
  get current(): RevisionOffer<Content> | undefined {
    return this.#current;
  }

  /** Revision that has to be fetched, if any. */
  get missing(): MissingRevision | undefined {
    return this.#missing;
  }

  /** Highest revision known to exist; 0 before the first. */
  get highestKnown(): number {
    return this.#missing?.revision ?? this.#current?.revision ?? 0;
  }

  /** Offers a revision with its content; `now` in monotonic milliseconds. */
  offer(offer: RevisionOffer<Content>, now: number): RevisionDecision {
    if (!isRevision(offer.revision)) return ignored("malformed");
    const current = this.#current;
    if (current !== undefined && offer.revision <= current.revision) {
      if (offer.revision < current.revision) return ignored("lower");
      const isSame = offer.changeId === current.changeId;
      return ignored(isSame ? "known" : "diverged");
    }
    this.#current = offer;
    this.#updateMissing(offer.revision, now);
    return { type: "accepted" };
  }

  /** Records that a revision was accepted, without its content. */
  recordAnnouncement(
    proof: { readonly revision: number; readonly announcer: string },
    now: number,
  ): void {
    const { revision, announcer } = proof;
    if (!isRevision(revision)) return;
    if (revision <= (this.#current?.revision ?? 0)) return;
    const missing = this.#missing;
    if (missing !== undefined && revision < missing.revision) return;
    const isSame = missing?.revision === revision;
    const others = isSame
      ? missing.announcers.filter((known) => known !== announcer)
      : [];
    const announcers = [announcer, ...others].slice(0, MAXIMUM_ANNOUNCERS);
    this.#missing = { revision, since: missing?.since ?? now, announcers };
  }

  /** How to handle new requests now. */
  servingMode(now: number): ServingMode {
    if (this.#current === undefined) return "refuse";
    if (this.#missing === undefined) return "serve";
    const waited = now - this.#missing.since;
    return waited < this.#holdMilliseconds ? "hold" : "refuse";
  }

  #updateMissing(revision: number, now: number): void {
    if (this.#missing === undefined) return;
    if (this.#missing.revision <= revision) this.#missing = undefined;
    // An intermediate revision is progress, so the wait restarts.
    else this.#missing = { ...this.#missing, since: now };
  }
}

function ignored(
  reason: Extract<RevisionDecision, { readonly type: "ignored" }>["reason"],
): RevisionDecision {
  return { type: "ignored", reason };
}
