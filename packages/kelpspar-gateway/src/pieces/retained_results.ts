import type { PieceResult } from "./chain_outcome.ts";

/** Results of a request that it may read once more. */
export interface RetainedChain {
  readonly attemptId: string;
  /** As of `chainKeyOf`. */
  readonly chainKey: string;
  readonly results: readonly PieceResult[];
  /** When the first of them expires, monotonic milliseconds. */
  readonly expiresAt: number;
}

/**
 * Results of resumable streams whose endpoints have read them. They are freed
 * together, since a stream that goes on needs all of them. What was freed here
 * is remembered until the stream ends, so that it isn't freed again.
 */
export class RetainedResults {
  /** By attempt, the oldest first. */
  readonly #chains = new Map<string, RetainedChain>();
  readonly #byHandle = new Map<string, RetainedChain>();
  /** Those that aren't freed yet, by maker; the oldest first. */
  readonly #byMaker = new Map<string, Set<RetainedChain>>();
  readonly #freed = new WeakSet<RetainedChain>();

  /** Adds a chain; returns an earlier one of its attempt that is to be freed. */
  add(chain: RetainedChain): RetainedChain | undefined {
    const earlier = this.take(chain.attemptId);
    this.#chains.set(chain.attemptId, chain);
    for (const { handle, makerId } of chain.results) {
      this.#byHandle.set(handle, chain);
      const ofMaker = this.#byMaker.get(makerId) ?? new Set();
      this.#byMaker.set(makerId, ofMaker.add(chain));
    }
    return earlier;
  }

  /** Whether a chain is retained and wasn't freed. */
  has(attemptId: string): boolean {
    const chain = this.#chains.get(attemptId);
    return chain !== undefined && !this.#freed.has(chain);
  }

  /** Removes and returns a chain that isn't freed. */
  take(attemptId: string): RetainedChain | undefined {
    const chain = this.#chains.get(attemptId);
    if (chain === undefined) return undefined;
    this.#forget(chain);
    return this.#freed.has(chain) ? undefined : chain;
  }

  /** The oldest chain with a result at a maker, which the caller frees. */
  evictOldestAt(makerId: string): RetainedChain | undefined {
    const [oldest] = this.#byMaker.get(makerId) ?? [];
    if (oldest !== undefined) this.#markFreed(oldest);
    return oldest;
  }

  /** All chains with a result at a maker, which the caller frees. */
  evictAllAt(makerId: string): readonly RetainedChain[] {
    const chains = [...this.#byMaker.get(makerId) ?? []];
    for (const chain of chains) this.#markFreed(chain);
    return chains;
  }

  /** All chains, which the caller frees. */
  evictAll(): readonly RetainedChain[] {
    return [...this.#byMaker.keys()].flatMap((makerId) =>
      this.evictAllAt(makerId)
    );
  }

  /** Removes the chains of results; returns what is to be freed. */
  end(results: readonly PieceResult[]): readonly PieceResult[] {
    const left = new Map(results.map((result) => [result.handle, result]));
    for (const { handle } of results) {
      const chain = this.#byHandle.get(handle);
      if (chain === undefined) continue;
      this.#forget(chain);
      for (const result of chain.results) {
        if (this.#freed.has(chain)) left.delete(result.handle);
        else left.set(result.handle, result);
      }
    }
    return [...left.values()];
  }

  /** Forgets chains of which results have expired. */
  removeExpired(now: number): void {
    for (const chain of this.#chains.values()) {
      if (chain.expiresAt > now) return;
      this.#forget(chain);
    }
  }

  #markFreed(chain: RetainedChain): void {
    this.#freed.add(chain);
    this.#removeFromMakers(chain);
  }

  #forget(chain: RetainedChain): void {
    this.#removeFromMakers(chain);
    this.#chains.delete(chain.attemptId);
    for (const { handle } of chain.results) this.#byHandle.delete(handle);
  }

  #removeFromMakers(chain: RetainedChain): void {
    for (const { makerId } of chain.results) {
      const ofMaker = this.#byMaker.get(makerId);
      ofMaker?.delete(chain);
      if (ofMaker?.size === 0) this.#byMaker.delete(makerId);
    }
  }
}
