/** Told that the list was confirmed, or can't be any more. */
export type FreshnessListener = () => void;

/**
 * When it was last certain that this daemon knows the tables as the store has
 * them: by an answer of the store, or by the word of a daemon that had one.
 */
export class ListFreshness {
  readonly #listeners = new Set<FreshnessListener>();
  #confirmedAt = Number.NEGATIVE_INFINITY;
  #isFailing = false;

  /** Whether the last attempt confirmed it. */
  get isFresh(): boolean {
    return !this.#isFailing && this.#confirmedAt > Number.NEGATIVE_INFINITY;
  }

  /** Since the last confirmation, milliseconds. */
  age(now: number): number {
    return now - this.#confirmedAt;
  }

  confirm(at: number): void {
    this.#confirmedAt = Math.max(this.#confirmedAt, at);
    this.#isFailing = false;
    this.#tell();
  }

  fail(): void {
    if (this.#isFailing) return;
    this.#isFailing = true;
    this.#tell();
  }

  registerListener(listener: FreshnessListener): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  #tell(): void {
    for (const listener of [...this.#listeners]) listener();
  }
}
