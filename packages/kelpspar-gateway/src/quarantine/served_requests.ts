/** Number of most recently served requests that are remembered. */
const MAXIMUM_SERVED_REQUESTS = 2_000;

/** When this daemon served the most recent requests, by their fingerprints. */
export class ServedRequests {
  readonly #servedAt = new Map<string, number>();

  add(fingerprint: string, now: number): void {
    this.#servedAt.delete(fingerprint);
    this.#servedAt.set(fingerprint, now);
    if (this.#servedAt.size <= MAXIMUM_SERVED_REQUESTS) return;
    const [oldest] = this.#servedAt.keys();
    if (oldest !== undefined) this.#servedAt.delete(oldest);
  }

  /** Monotonic milliseconds; undefined if the request isn't remembered. */
  servedAt(fingerprint: string): number | undefined {
    return this.#servedAt.get(fingerprint);
  }
}
