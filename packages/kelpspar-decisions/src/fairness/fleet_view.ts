import type { DemandDigest, DemandSummary } from "./demand_digest.ts";
import { EMPTY_DEMAND, mergeDemand } from "./merge_demand.ts";

const DEFAULT_SILENT_AFTER_MILLISECONDS = 3_000;

/** Options of `FleetView`. */
export interface FleetViewOptions {
  readonly incarnation: string;
  readonly availabilityZone: string;
  /**
   * True if zones exchange merged digests. Digests of single daemons in other
   * zones are then ignored, so that no demand is counted twice.
   */
  readonly usesZoneDigests?: boolean;
  /** Maximum age of a digest; default 3,000 milliseconds. */
  readonly silentAfterMilliseconds?: number;
}

interface ReceivedDigest {
  readonly digest: DemandDigest;
  readonly receivedAt: number;
}

/** Last digest that one daemon received from each peer. */
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

  /** Applies a digest; returns false if it is late, repeated or irrelevant. */
  accept(digest: DemandDigest, now: number): boolean {
    if (!this.#isRelevant(digest)) return false;
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

  /** Removes a daemon that left the fleet. */
  remove(incarnation: string): void {
    this.#received.delete(`daemon/${incarnation}`);
  }

  /** Merged demand of the peers with recent digests. */
  peers(now: number): DemandSummary {
    let summary = EMPTY_DEMAND;
    for (const [key, { digest, receivedAt }] of this.#received) {
      if (now - receivedAt <= this.#silentAfterMilliseconds) {
        summary = mergeDemand(summary, digest);
      } else this.#received.delete(key);
    }
    return summary;
  }

  /** Merged demand of this daemon's zone including itself, for other zones. */
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

  #isRelevant(digest: DemandDigest): boolean {
    if (digest.incarnation === this.#incarnation) return false;
    const isOwnZone = digest.availabilityZone === this.#availabilityZone;
    if (!this.#usesZoneDigests) return digest.scope === "daemon";
    return digest.scope === (isOwnZone ? "daemon" : "zone");
  }
}
