import type { PromptPart } from "../requests/serving_request.ts";

/**
 * How long a cached part is useful after its last request: callers that share a
 * part return within about ten seconds or not at all.
 */
const RETENTION_MILLISECONDS = 15_000;

interface CachedPart {
  readonly tokens: number;
  readonly usedAt: number;
}

/**
 * Model of a model endpoint's prompt cache, inferred from the requests sent to
 * it. Evicts the least recently used parts once the cache is full.
 */
export class PromptCache {
  /** In order of use, least recently used first. */
  readonly #parts = new Map<string, CachedPart>();
  readonly #capacity: number;
  #used = 0;

  /** `capacity` in tokens; infinite when unknown. */
  constructor(capacity: number) {
    this.#capacity = capacity;
  }

  /** Tokens that fit before a useful part is evicted; 0 when full. */
  get freeTokens(): number {
    return Math.max(0, this.#capacity - this.#used);
  }

  /** Tokens of a prompt's prefix that are cached. */
  cachedTokens(parts: readonly PromptPart[], now: number): number {
    let tokens = 0;
    for (const part of parts) {
      const cached = this.#parts.get(part.id);
      if (
        cached === undefined || now - cached.usedAt > RETENTION_MILLISECONDS
      ) break;
      tokens += part.tokens;
    }
    return tokens;
  }

  /** Records that a prompt is read or reused. */
  recordUse(parts: readonly PromptPart[], now: number): void {
    for (const { id, tokens } of parts) {
      this.#evict(id);
      this.#parts.set(id, { tokens, usedAt: now });
      this.#used += tokens;
    }
    for (const [id, { usedAt }] of this.#parts) {
      const isUseful = now - usedAt <= RETENTION_MILLISECONDS;
      if (isUseful && this.#used <= this.#capacity) return;
      this.#evict(id);
    }
  }

  #evict(id: string): void {
    this.#used -= this.#parts.get(id)?.tokens ?? 0;
    this.#parts.delete(id);
  }
}
