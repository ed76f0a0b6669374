/** How long a refused caller is remembered, milliseconds: a long deadline. */
const REMEMBERED_MILLISECONDS = 20_000;
/** Most callers remembered; the oldest is forgotten first. */
const MOST_REMEMBERED = 4_000;

/**
 * Callers that were refused, by the key that stays the same when they come
 * back. What goes wrong without: their time to be on time is counted from
 * their return, so that they go behind work that came after them. Their
 * deadlines don't tell their age, as those of fresh callers differ as well.
 */
export class RefusedCallers {
  readonly #firstAskedAt = new Map<string, number>();

  /** Notes a refusal. */
  record(key: string, now: number): void {
    if (key === "" || this.#firstAskedAt.has(key)) return;
    this.#forgetOld(now);
    this.#firstAskedAt.set(key, now);
  }

  /** Whether a caller was refused before. */
  has(key: string): boolean {
    return this.#firstAskedAt.has(key);
  }

  /** Milliseconds since the caller first asked; 0 for one that is new. */
  ageOf(key: string, now: number): number {
    return now - (this.#firstAskedAt.get(key) ?? now);
  }

  #forgetOld(now: number): void {
    // A map keeps the order in which its keys came.
    for (const [key, askedAt] of this.#firstAskedAt) {
      const isOld = now - askedAt > REMEMBERED_MILLISECONDS ||
        this.#firstAskedAt.size >= MOST_REMEMBERED;
      if (!isOld) return;
      this.#firstAskedAt.delete(key);
    }
  }
}
