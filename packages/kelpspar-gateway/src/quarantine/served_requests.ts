/** Number of most recently served requests that are remembered. */
const MAXIMUM_SERVED_REQUESTS = 2_000;

/** Fingerprints of the requests that this daemon served most recently. */
export class ServedRequests {
  readonly #fingerprints = new Set<string>();

  add(fingerprint: string): void {
    this.#fingerprints.delete(fingerprint);
    this.#fingerprints.add(fingerprint);
    if (this.#fingerprints.size <= MAXIMUM_SERVED_REQUESTS) return;
    const [oldest] = this.#fingerprints;
    if (oldest !== undefined) this.#fingerprints.delete(oldest);
  }

  has(fingerprint: string): boolean {
    return this.#fingerprints.has(fingerprint);
  }
}
