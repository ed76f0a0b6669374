const EMPTY = Buffer.alloc(0);
const GROWTH_FACTOR = 2;

/** Options of a `GrowingBuffer`. */
export interface GrowingBufferOptions {
  /** No more memory is allocated unless there are more bytes; default none. */
  readonly maximumCapacity?: number;
}

/**
 * Collects bytes. Copies each byte a few times at most, and holds at most twice
 * the bytes: a list of chunks of one byte would hold a hundred times as much.
 */
export class GrowingBuffer {
  readonly #maximumCapacity: number;
  #store: Buffer = EMPTY;
  #length = 0;

  constructor(options: GrowingBufferOptions = {}) {
    this.#maximumCapacity = options.maximumCapacity ?? Number.POSITIVE_INFINITY;
  }

  get length(): number {
    return this.#length;
  }

  /** Bytes of memory that are held. */
  get capacity(): number {
    return this.#store.length;
  }

  /** The bytes, valid until the next change. */
  get bytes(): Buffer {
    return this.#store.subarray(0, this.#length);
  }

  /** Adds bytes; keeps the first chunk itself, which must not change. */
  append(chunk: Buffer): void {
    const length = this.#length + chunk.length;
    // A first chunk has no room after its bytes, so the next one is copied.
    if (this.#length === 0) this.#store = chunk;
    else {
      if (length > this.#store.length) this.#grow(length);
      chunk.copy(this.#store, this.#length);
    }
    this.#length = length;
  }

  clear(): void {
    this.#store = EMPTY;
    this.#length = 0;
  }

  #grow(length: number): void {
    const capacity = Math.min(length * GROWTH_FACTOR, this.#maximumCapacity);
    const store = Buffer.allocUnsafeSlow(Math.max(length, capacity));
    this.#store.copy(store, 0, 0, this.#length);
    this.#store = store;
  }
}
