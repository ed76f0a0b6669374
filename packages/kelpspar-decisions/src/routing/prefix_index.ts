import type { PrefixHolders } from "./choose_options.ts";
import type { CacheEventPage, CacheSnapshot } from "kelpspar-shared";

const DEFAULT_MAXIMUM_ENTRIES = 65_536;
const NO_HOLDERS: readonly string[] = [];

/** What the index needs after a page of events. */
export type PrefixIndexNeed = "nothing" | "snapshot";

interface EndpointPrefixes {
  incarnation: string;
  lastSequence: number;
  readonly hashes: Set<string>;
}

/**
 * Index of the prompt prefixes that engines have cached, built from their cache
 * events. Events arrive late and with gaps, so the index may be wrong; a wrong
 * entry costs the time of a prefill and nothing else. After a gap the index
 * requests a snapshot and uses its current entries until the snapshot arrives.
 * Memory is bounded: the least recently stored prefixes are evicted first.
 */
export class PrefixIndex implements PrefixHolders {
  readonly #maximumEntries: number;
  readonly #endpoints = new Map<string, EndpointPrefixes>();
  readonly #holders = new Map<string, string[]>();
  #entries = 0;

  /** `maximumEntries`: maximum pairs of prefix and endpoint; default 65,536. */
  constructor(options: { readonly maximumEntries?: number } = {}) {
    this.#maximumEntries = options.maximumEntries ?? DEFAULT_MAXIMUM_ENTRIES;
  }

  /** Number of pairs of prefix and endpoint. */
  get size(): number {
    return this.#entries;
  }

  holders(prefixHash: string): readonly string[] {
    return this.#holders.get(prefixHash) ?? NO_HOLDERS;
  }

  /** The sequence number after which to request an endpoint's events. */
  cursorOf(endpointId: string): number {
    return this.#endpoints.get(endpointId)?.lastSequence ?? 0;
  }

  /** Applies a page of events; events already applied are ignored. */
  applyPage(endpointId: string, page: CacheEventPage): PrefixIndexNeed {
    const endpoint = this.#getOrResetEndpoint(endpointId, page.incarnation);
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
   * Replaces an endpoint's entries by a snapshot. A snapshot older than the
   * last event moves the cursor back, so that later events are fetched again.
   */
  applySnapshot(endpointId: string, snapshot: CacheSnapshot): void {
    this.remove(endpointId);
    const endpoint = this.#getOrResetEndpoint(endpointId, snapshot.incarnation);
    endpoint.lastSequence = snapshot.lastSequence;
    for (const prefixHash of snapshot.prefixHashes) {
      this.#store(endpointId, prefixHash);
    }
  }

  /** Removes an endpoint. */
  remove(endpointId: string): void {
    const endpoint = this.#endpoints.get(endpointId);
    if (endpoint === undefined) return;
    for (const prefixHash of [...endpoint.hashes]) {
      this.#evict(endpointId, prefixHash);
    }
    this.#endpoints.delete(endpointId);
  }

  /** A restarted endpoint has an empty cache and numbers its events from 1. */
  #getOrResetEndpoint(
    endpointId: string,
    incarnation: string,
  ): EndpointPrefixes {
    const existing = this.#endpoints.get(endpointId);
    if (existing?.incarnation === incarnation) return existing;
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
    while (this.#entries > this.#maximumEntries) this.#evictOldest();
  }

  #evict(endpointId: string, prefixHash: string): void {
    const endpoint = this.#endpoints.get(endpointId);
    if (endpoint?.hashes.delete(prefixHash) !== true) return;
    this.#entries--;
    const holders = this.#holders.get(prefixHash) ?? [];
    holders.splice(holders.indexOf(endpointId), 1);
    if (holders.length === 0) this.#holders.delete(prefixHash);
  }

  #evictOldest(): void {
    const [oldest] = this.#holders;
    if (oldest === undefined) return;
    const [prefixHash, holders] = oldest;
    for (const endpointId of [...holders]) this.#evict(endpointId, prefixHash);
  }
}
