/** How long a refused caller is remembered: a long deadline. */
const RETENTION_MILLISECONDS = 20_000;
/** Most callers remembered; the oldest is evicted first. */
const MAX_CALLERS = 4_000;

/**
 * Refused callers, by the key that stays the same across retries. Without it,
 * a caller's objective would be counted from its retry, and its work would go
 * behind work that arrived later. The age can't be inferred from deadlines, as
 * those of new callers differ as well.
 */
export class RefusedCallers {
  readonly #firstAskedAt = new Map<string, number>();

  /** Records a refusal. */
  record(key: string, now: number): void {
    if (key === "" || this.#firstAskedAt.has(key)) return;
    this.#evictOld(now);
    this.#firstAskedAt.set(key, now);
  }

  /** Whether a caller was refused before. */
  has(key: string): boolean {
    return this.#firstAskedAt.has(key);
  }

  /** Milliseconds since the caller's first refusal; 0 for a new caller. */
  ageOf(key: string, now: number): number {
    return now - (this.#firstAskedAt.get(key) ?? now);
  }

  #evictOld(now: number): void {
    // A map iterates in insertion order.
    for (const [key, askedAt] of this.#firstAskedAt) {
      const isOld = now - askedAt > RETENTION_MILLISECONDS ||
        this.#firstAskedAt.size >= MAX_CALLERS;
      if (!isOld) return;
      this.#firstAskedAt.delete(key);
    }
  }
}
