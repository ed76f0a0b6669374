/** Called when the tables are confirmed, or can no longer be confirmed. */
export type FreshnessListener = () => void;

/**
 * When this daemon's copies of the tables were last confirmed to match the
 * store, by an answer of the store or of a daemon that received one.
 */
export class TableFreshness {
  readonly #listeners = new Set<FreshnessListener>();
  #confirmedAt = Number.NEGATIVE_INFINITY;
  #isFailing = false;

  /** Whether the last attempt confirmed the tables. */
  get isFresh(): boolean {
    return !this.#isFailing && this.#confirmedAt > Number.NEGATIVE_INFINITY;
  }

  /** Time since the last confirmation, milliseconds. */
  age(now: number): number {
    return now - this.#confirmedAt;
  }

  confirm(at: number): void {
    this.#confirmedAt = Math.max(this.#confirmedAt, at);
    this.#isFailing = false;
    this.#notifyListeners();
  }

  markStale(): void {
    if (this.#isFailing) return;
    this.#isFailing = true;
    this.#notifyListeners();
  }

  registerListener(listener: FreshnessListener): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  #notifyListeners(): void {
    for (const listener of [...this.#listeners]) listener();
  }
}
