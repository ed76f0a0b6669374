import type { PrefixHolders } from "./choose_options.ts";
import type { CacheEventPage, CacheSnapshot } from "kelpspar-shared";

const DEFAULT_MOST_ENTRIES = 65_536;
const NOBODY: readonly string[] = [];

/** What the index asks for after a page of events. */
export type PrefixIndexNeed = "nothing" | "snapshot";

interface EndpointPrefixes {
  incarnation: string;
  lastSequence: number;
  readonly hashes: Set<string>;
}

/**
 * Which engines hold which prompt prefixes, as far as their cache events tell.
 * Events come late and with gaps, so it may be wrong; a wrong guess costs the
 * time of a prefill and nothing else. After a gap it asks for a snapshot, and
 * uses what it has until that comes. Memory is bounded: the prefixes that were
 * stored longest ago are forgotten first.
 */
export class PrefixIndex implements PrefixHolders {
  readonly #mostEntries: number;
  readonly #endpoints = new Map<string, EndpointPrefixes>();
  readonly #holders = new Map<string, string[]>();
  #entries = 0;

  /** `mostEntries`: pairs of prefix and endpoint kept; default 65,536. */
  constructor(options: { readonly mostEntries?: number } = {}) {
    this.#mostEntries = options.mostEntries ?? DEFAULT_MOST_ENTRIES;
  }

  /** Pairs of prefix and endpoint kept. */
  get size(): number {
    return this.#entries;
  }

  holders(prefixHash: string): readonly string[] {
    return this.#holders.get(prefixHash) ?? NOBODY;
  }

  /** The sequence after which to ask an endpoint for events. */
  cursorOf(endpointId: string): number {
    return this.#endpoints.get(endpointId)?.lastSequence ?? 0;
  }

  /** Takes in a page of events; events known already change nothing. */
  applyPage(endpointId: string, page: CacheEventPage): PrefixIndexNeed {
    const endpoint = this.#endpointOf(endpointId, page.incarnation);
    let isWhole = true;
    for (const event of page.events) {
      if (event.sequence <= endpoint.lastSequence) continue;
      isWhole &&= event.sequence === endpoint.lastSequence + 1;
      endpoint.lastSequence = event.sequence;
      if (event.type === "stored") this.#store(endpointId, event.prefixHash);
      else this.#evict(endpointId, event.prefixHash);
    }
    isWhole &&= page.lastSequence <= endpoint.lastSequence;
    endpoint.lastSequence = Math.max(endpoint.lastSequence, page.lastSequence);
    return isWhole ? "nothing" : "snapshot";
  }

  /**
   * Puts a snapshot in the place of what was known. One that is older than the
   * last event sets the cursor back, so that the events since come once more.
   */
  applySnapshot(endpointId: string, snapshot: CacheSnapshot): void {
    this.remove(endpointId);
    const endpoint = this.#endpointOf(endpointId, snapshot.incarnation);
    endpoint.lastSequence = snapshot.lastSequence;
    for (const prefixHash of snapshot.prefixHashes) {
      this.#store(endpointId, prefixHash);
    }
  }

  /** Forgets an endpoint that is gone. */
  remove(endpointId: string): void {
    const endpoint = this.#endpoints.get(endpointId);
    if (endpoint === undefined) return;
    for (const prefixHash of [...endpoint.hashes]) {
      this.#evict(endpointId, prefixHash);
    }
    this.#endpoints.delete(endpointId);
  }

  /** An endpoint that started anew has an empty cache and counts from 1. */
  #endpointOf(endpointId: string, incarnation: string): EndpointPrefixes {
    const known = this.#endpoints.get(endpointId);
    if (known?.incarnation === incarnation) return known;
    this.remove(endpointId);
    const endpoint = {
      incarnation,
      lastSequence: 0,
      hashes: new Set<string>(),
    };
    this.#endpoints.set(endpointId, endpoint);
    return endpoint;
  }

  #store(endpointId: string, prefixHash: string): void {
    const endpoint = this.#endpoints.get(endpointId);
    if (endpoint === undefined) return;
    const holders = this.#holders.get(prefixHash) ?? [];
    this.#holders.delete(prefixHash);
    this.#holders.set(prefixHash, holders);
    if (endpoint.hashes.has(prefixHash)) return;
    endpoint.hashes.add(prefixHash);
    holders.push(endpointId);
    this.#entries++;
    while (this.#entries > this.#mostEntries) this.#forgetOldest();
  }

  #evict(endpointId: string, prefixHash: string): void {
    const endpoint = this.#endpoints.get(endpointId);
    if (endpoint?.hashes.delete(prefixHash) !== true) return;
    this.#entries--;
    const holders = this.#holders.get(prefixHash) ?? [];
    holders.splice(holders.indexOf(endpointId), 1);
    if (holders.length === 0) this.#holders.delete(prefixHash);
  }

  #forgetOldest(): void {
    const [oldest] = this.#holders;
    if (oldest === undefined) return;
    const [prefixHash, holders] = oldest;
    for (const endpointId of [...holders]) this.#evict(endpointId, prefixHash);
  }
}
