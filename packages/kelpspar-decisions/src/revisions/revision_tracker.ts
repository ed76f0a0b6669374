import type {
  RevisionDecision,
  RevisionOffer,
  ServingStance,
} from "./revision_offer.ts";
import { isRevision } from "./revision_row.ts";

const DEFAULT_HOLD_MILLISECONDS = 500;

/** How a daemon behaves while it lacks a revision. */
export interface RevisionTrackerOptions {
  /** How long new requests wait for a missing revision; default 500. */
  readonly holdMilliseconds?: number;
}

/** A revision that exists and that this daemon does not have. */
export interface MissingRevision {
  readonly revision: number;
  /** Monotonic milliseconds; when the daemon began to wait for it. */
  readonly since: number;
  /** Who proved it and should be asked for it; the last few, newest first. */
  readonly provers: readonly string[];
}

const MOST_PROVERS = 4;

/**
 * The revision that a daemon serves from. It only moves up.
 *
 * What goes wrong without it: offers overtake one another between the table,
 * peers and boot, and a daemon goes back to an older configuration. It shows
 * as a change that was in force and is not any more.
 *
 * A daemon that has proof of a higher revision without its content stops
 * taking new requests at once. It holds them for a moment, because the prover
 * has the content and a fetch takes milliseconds. After that it refuses them
 * as `not_run`, since the prover and others can serve them by the right
 * revision. Serving the lower one on would let a change that operators have
 * seen in force be undone for some callers. The cost: when every daemon that
 * has the content dies before anyone fetched it while the store is down, the
 * others refuse until one of them returns. Whoever announces a revision should
 * therefore offer its content along with the number.
 * Requests in flight end by the revision they started with.
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

  /** The revision in force here; undefined before the first. */
  get current(): RevisionOffer<Content> | undefined {
    return this.#current;
  }

  /** What has to be fetched, if anything. */
  get missing(): MissingRevision | undefined {
    return this.#missing;
  }

  /** The highest revision that is known to exist; 0 before the first. */
  get highestKnown(): number {
    return this.#missing?.revision ?? this.#current?.revision ?? 0;
  }

  /** Takes a revision with its content, `now` in monotonic milliseconds. */
  offer(offer: RevisionOffer<Content>, now: number): RevisionDecision {
    if (!isRevision(offer.revision)) return ignored("malformed");
    const current = this.#current;
    if (current !== undefined && offer.revision <= current.revision) {
      if (offer.revision < current.revision) return ignored("lower");
      const isSame = offer.changeId === current.changeId;
      return ignored(isSame ? "known" : "diverged");
    }
    this.#current = offer;
    this.#settleMissing(offer.revision, now);
    return { type: "accepted" };
  }

  /** Takes proof that a revision was accepted, without its content. */
  noteProof(
    proof: { readonly revision: number; readonly prover: string },
    now: number,
  ): void {
    const { revision, prover } = proof;
    if (!isRevision(revision)) return;
    if (revision <= (this.#current?.revision ?? 0)) return;
    const missing = this.#missing;
    if (missing !== undefined && revision < missing.revision) return;
    const isSame = missing?.revision === revision;
    const others = isSame
      ? missing.provers.filter((known) => known !== prover)
      : [];
    const provers = [prover, ...others].slice(0, MOST_PROVERS);
    this.#missing = { revision, since: missing?.since ?? now, provers };
  }

  /** What to do with new requests now. */
  stance(now: number): ServingStance {
    if (this.#current === undefined) return "refuse";
    if (this.#missing === undefined) return "serve";
    const waited = now - this.#missing.since;
    return waited < this.#holdMilliseconds ? "hold" : "refuse";
  }

  #settleMissing(revision: number, now: number): void {
    if (this.#missing === undefined) return;
    if (this.#missing.revision <= revision) this.#missing = undefined;
    // A step towards it is progress: waiting starts anew.
    else this.#missing = { ...this.#missing, since: now };
  }
}

function ignored(
  reason: Extract<RevisionDecision, { readonly type: "ignored" }>["reason"],
): RevisionDecision {
  return { type: "ignored", reason };
}
