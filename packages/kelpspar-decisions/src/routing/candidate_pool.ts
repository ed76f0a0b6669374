import type { EndpointEntry } from "./endpoint_entry.ts";

/** Returns the region of an availability zone. */
export type RegionOfZone = (availabilityZone: string) => string;

/** Endpoints that can serve calls of one service and model, by zone. */
export class CandidatePool {
  readonly key: string;
  readonly #regionOf: RegionOfZone;
  readonly #zones = new Map<string, EndpointEntry[]>();
  #tiers = new Map<string, readonly (readonly EndpointEntry[])[]>();
  #regions = new Map<string, readonly EndpointEntry[]>();

  constructor(key: string, regionOf: RegionOfZone) {
    this.key = key;
    this.#regionOf = regionOf;
  }

  get isEmpty(): boolean {
    return this.#zones.size === 0;
  }

  add(entry: EndpointEntry): void {
    const zone = entry.address.availabilityZone;
    const entries = this.#zones.get(zone);
    if (entries === undefined) this.#zones.set(zone, [entry]);
    else entries.push(entry);
    this.#tiers = new Map();
    this.#regions = new Map();
  }

  remove(entry: EndpointEntry): void {
    for (const [zone, entries] of this.#zones) {
      const index = entries.indexOf(entry);
      if (index < 0) continue;
      entries.splice(index, 1);
      if (entries.length === 0) this.#zones.delete(zone);
    }
    this.#tiers = new Map();
    this.#regions = new Map();
  }

  /** True when two zones are in the same region. */
  isSameRegion(zone: string, otherZone: string): boolean {
    return this.#regionOf(zone) === this.#regionOf(otherZone);
  }

  /** The candidates of all zones in the region of `zone`. */
  inRegionOf(zone: string): readonly EndpointEntry[] {
    const cached = this.#regions.get(zone);
    if (cached !== undefined) return cached;
    const entries = [...this.#zones].flatMap(([otherZone, candidates]) =>
      this.isSameRegion(zone, otherZone) ? candidates : []
    );
    this.#regions.set(zone, entries);
    return entries;
  }

  /**
   * Returns the candidates in tiers of distance from `zone`: the same zone, the
   * rest of its region, all others. Empty tiers are omitted.
   */
  tiersFrom(zone: string): readonly (readonly EndpointEntry[])[] {
    const cached = this.#tiers.get(zone);
    if (cached !== undefined) return cached;
    const region = this.#regionOf(zone);
    const own = this.#zones.get(zone) ?? [];
    const sameRegion: EndpointEntry[] = [];
    const otherRegions: EndpointEntry[] = [];
    for (const [otherZone, entries] of this.#zones) {
      if (otherZone === zone) continue;
      const tier = this.#regionOf(otherZone) === region
        ? sameRegion
        : otherRegions;
      tier.push(...entries);
    }
    const tiers = [own, sameRegion, otherRegions].filter((tier) =>
      tier.length > 0
    );
    this.#tiers.set(zone, tiers);
    return tiers;
  }
}
