import type { CacheEvent } from "kelpspar-shared";

/** The KV cache of one prefix: the body of `/v1/cache/{prefixHash}`. */
export interface CachedPrefix {
  readonly prefixHash: string;
  readonly tokens: number;
}

/** An LRU cache of prefixes with a limited number of tokens. */
export class PrefixCache {
  readonly #limitTokens: number;
  readonly #onChange: (
    type: CacheEvent["type"],
    prefixHash: string,
  ) => void;
  /** The least recently used prefix comes first. */
  readonly #prefixes = new Map<string, number>();
  #tokens = 0;

  constructor(options: {
    readonly limitTokens: number;
    readonly onChange: (type: CacheEvent["type"], prefixHash: string) => void;
  }) {
    this.#limitTokens = options.limitTokens;
    this.#onChange = options.onChange;
  }

  /** Returns the tokens cached for a prefix and marks it as recently used. */
  touch(prefixHash: string): number {
    const tokens = this.#prefixes.get(prefixHash);
    if (tokens === undefined) return 0;
    this.#prefixes.delete(prefixHash);
    this.#prefixes.set(prefixHash, tokens);
    return tokens;
  }

  /** Stores a prefix and evicts others if necessary. */
  store({ prefixHash, tokens }: CachedPrefix): void {
    if (tokens > this.#limitTokens || this.touch(prefixHash) >= tokens) return;
    this.#tokens += tokens - (this.#prefixes.get(prefixHash) ?? 0);
    this.#prefixes.set(prefixHash, tokens);
    this.#onChange("stored", prefixHash);
    this.#evict();
  }

  get(prefixHash: string): CachedPrefix | undefined {
    const tokens = this.#prefixes.get(prefixHash);
    return tokens === undefined ? undefined : { prefixHash, tokens };
  }

  get prefixHashes(): readonly string[] {
    return [...this.#prefixes.keys()];
  }

  #evict(): void {
    for (const [prefixHash, tokens] of this.#prefixes) {
      if (this.#tokens <= this.#limitTokens) return;
      this.#prefixes.delete(prefixHash);
      this.#tokens -= tokens;
      this.#onChange("evicted", prefixHash);
    }
  }
}
