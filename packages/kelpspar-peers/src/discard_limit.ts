/** Parts of a discarded body that are accepted however few bytes they have. */
const ACCEPTED_PARTS = 256;
/** Fewer bytes a part, on average, exceed the limit beyond these. */
const MINIMUM_BYTES_PER_PART = 64;

/**
 * Limits a body that is read and discarded, by its bytes and by its parts: a
 * part takes as much processor time as some hundred bytes.
 */
export class DiscardLimit {
  readonly #maximumBytes: number;
  #bytes = 0;
  #parts = 0;

  constructor(maximumBytes: number) {
    this.#maximumBytes = maximumBytes;
  }

  add(part: Uint8Array): void {
    this.#bytes += part.length;
    this.#parts++;
  }

  get isExceeded(): boolean {
    return this.#bytes > this.#maximumBytes ||
      this.#parts > ACCEPTED_PARTS + this.#bytes / MINIMUM_BYTES_PER_PART;
  }
}
