/**
 * Whether a result is needed: `retained` ones only if a stream must go on at
 * another endpoint, `freeing` ones no longer.
 */
export type ResultUse = "used" | "retained" | "freeing";

/** A result to add. */
export interface KeptResult {
  readonly bytes: number;
  /** Monotonic milliseconds. */
  readonly expiresAt: number;
}

/** The results that an endpoint keeps, with the room that they take. */
export class KeptResults {
  /** By handle, in order of expiry while the configuration is the same. */
  readonly #results = new Map<string, KeptResult & { use: ResultUse }>();
  readonly #bytes = { used: 0, retained: 0, freeing: 0 };

  add(handle: string, { bytes, expiresAt }: KeptResult): void {
    this.remove(handle);
    this.#results.set(handle, { bytes, expiresAt, use: "used" });
    this.#bytes.used += bytes;
  }

  remove(handle: string): void {
    const result = this.#results.get(handle);
    if (result === undefined) return;
    this.#results.delete(handle);
    this.#bytes[result.use] -= result.bytes;
  }

  setUse(handle: string, use: ResultUse): void {
    const result = this.#results.get(handle);
    if (result === undefined) return;
    this.#bytes[result.use] -= result.bytes;
    this.#bytes[use] += result.bytes;
    result.use = use;
  }

  /** When a result expires; undefined if it isn't kept. */
  expiryOf(handle: string): number | undefined {
    return this.#results.get(handle)?.expiresAt;
  }

  /** Bytes of all results. */
  totalBytes(now: number): number {
    this.#removeExpired(now);
    const { used, retained, freeing } = this.#bytes;
    return used + retained + freeing;
  }

  /** Bytes of results of one use. */
  bytesOf(use: ResultUse, now: number): number {
    this.#removeExpired(now);
    return this.#bytes[use];
  }

  #removeExpired(now: number): void {
    for (const [handle, { expiresAt }] of this.#results) {
      if (expiresAt > now) return;
      this.remove(handle);
    }
  }
}
