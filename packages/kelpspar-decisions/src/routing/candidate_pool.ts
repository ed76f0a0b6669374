import type { EndpointEntry } from "./endpoint_entry.ts";

/** Gives the region of an availability zone. */
export type RegionOfZone = (availabilityZone: string) => string;

/** The endpoints that can take calls of one service and model, by zone. */
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

  /** True when two zones are in one region. */
  isNear(zone: string, otherZone: string): boolean {
    return this.#regionOf(zone) === this.#regionOf(otherZone);
  }

  /** The candidates of all zones in the region of `zone`. */
  inRegionOf(zone: string): readonly EndpointEntry[] {
    const known = this.#regions.get(zone);
    if (known !== undefined) return known;
    const entries = [...this.#zones].flatMap(([otherZone, candidates]) =>
      this.isNear(zone, otherZone) ? candidates : []
    );
    this.#regions.set(zone, entries);
    return entries;
  }

  /**
   * The candidates as seen from `zone`: its own, then the others of its region,
   * then the rest. Tiers without candidates are left out.
   */
  tiersFrom(zone: string): readonly (readonly EndpointEntry[])[] {
    const known = this.#tiers.get(zone);
    if (known !== undefined) return known;
    const region = this.#regionOf(zone);
    const own = this.#zones.get(zone) ?? [];
    const near: EndpointEntry[] = [];
    const far: EndpointEntry[] = [];
    for (const [otherZone, entries] of this.#zones) {
      if (otherZone === zone) continue;
      const tier = this.#regionOf(otherZone) === region ? near : far;
      tier.push(...entries);
    }
    const tiers = [own, near, far].filter((tier) => tier.length > 0);
    this.#tiers.set(zone, tiers);
    return tiers;
  }
}
