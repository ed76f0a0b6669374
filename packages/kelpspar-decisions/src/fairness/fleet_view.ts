import type { DemandDigest, DemandSummary } from "./demand_digest.ts";
import { EMPTY_DEMAND, mergeDemand } from "./merge_demand.ts";

const DEFAULT_SILENT_AFTER_MILLISECONDS = 3_000;

/** Whose digests a view keeps, and for how long. */
export interface FleetViewOptions {
  readonly incarnation: string;
  readonly availabilityZone: string;
  /**
   * True when zones tell each other merged digests. Digests of single daemons
   * of other zones are then left out, and counted nowhere twice.
   */
  readonly usesZoneDigests?: boolean;
  /** A digest older than this is left out; default 3,000 milliseconds. */
  readonly silentAfterMilliseconds?: number;
}

interface ReceivedDigest {
  readonly digest: DemandDigest;
  readonly receivedAt: number;
}

/** The last digest of each peer, as one daemon received them. */
export class FleetView {
  readonly #incarnation: string;
  readonly #availabilityZone: string;
  readonly #usesZoneDigests: boolean;
  readonly #silentAfterMilliseconds: number;
  readonly #received = new Map<string, ReceivedDigest>();

  constructor(options: FleetViewOptions) {
    this.#incarnation = options.incarnation;
    this.#availabilityZone = options.availabilityZone;
    this.#usesZoneDigests = options.usesZoneDigests ?? false;
    this.#silentAfterMilliseconds = options.silentAfterMilliseconds ??
      DEFAULT_SILENT_AFTER_MILLISECONDS;
  }

  /** Takes a digest; false when it is late, repeated or not for this view. */
  accept(digest: DemandDigest, now: number): boolean {
    if (!this.#concerns(digest)) return false;
    const key = digest.scope === "zone"
      ? `zone/${digest.availabilityZone}`
      : `daemon/${digest.incarnation}`;
    const last = this.#received.get(key)?.digest;
    const isLate = last !== undefined &&
      last.incarnation === digest.incarnation &&
      last.sequence >= digest.sequence;
    if (isLate) return false;
    this.#received.set(key, { digest, receivedAt: now });
    return true;
  }

  /** Forgets a daemon that left the fleet. */
  forget(incarnation: string): void {
    this.#received.delete(`daemon/${incarnation}`);
  }

  /** The demand of the peers that were heard lately, merged. */
  peers(now: number): DemandSummary {
    let summary = EMPTY_DEMAND;
    for (const [key, { digest, receivedAt }] of this.#received) {
      if (now - receivedAt <= this.#silentAfterMilliseconds) {
        summary = mergeDemand(summary, digest);
      } else this.#received.delete(key);
    }
    return summary;
  }

  /** The demand of this daemon's zone, itself included, to tell the others. */
  zone(own: DemandSummary, now: number): DemandSummary {
    let summary = own;
    for (const { digest, receivedAt } of this.#received.values()) {
      if (digest.scope !== "daemon") continue;
      if (digest.availabilityZone !== this.#availabilityZone) continue;
      if (now - receivedAt > this.#silentAfterMilliseconds) continue;
      summary = mergeDemand(summary, digest);
    }
    return summary;
  }

  #concerns(digest: DemandDigest): boolean {
    if (digest.incarnation === this.#incarnation) return false;
    const isOwnZone = digest.availabilityZone === this.#availabilityZone;
    if (!this.#usesZoneDigests) return digest.scope === "daemon";
    return digest.scope === (isOwnZone ? "daemon" : "zone");
  }
}
