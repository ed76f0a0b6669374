import { GrowingBuffer } from "./growing_buffer.ts";
import { PROCESS_SEGMENT_POOL, SEGMENT_BYTES } from "./segment_pool.ts";

/**
 * Collects a body: a small one in a buffer that grows, a large one in segments
 * of the process's pool.
 */
export class BodyBuffer {
  readonly #small = new GrowingBuffer({ maximumCapacity: SEGMENT_BYTES });
  #segments: Buffer[] = [];
  #length = 0;

  get length(): number {
    return this.#length;
  }

  /** Bytes of memory that are held. */
  get capacity(): number {
    return this.#small.capacity + this.#segments.length * SEGMENT_BYTES;
  }

  /** Adds bytes; may keep a first chunk itself, which must not change. */
  append(chunk: Buffer): void {
    const isSmall = this.#segments.length === 0 &&
      this.#length + chunk.length <= SEGMENT_BYTES;
    if (isSmall) {
      this.#small.append(chunk);
      this.#length += chunk.length;
      return;
    }
    if (this.#segments.length === 0) this.#moveToSegments();
    this.#copy(chunk);
  }

  /** Returns all bytes and clears the buffer. */
  take(): Buffer {
    const bytes = this.#segments.length === 0
      ? this.#small.bytes
      : Buffer.concat(this.#segments, this.#length);
    this.clear();
    return bytes;
  }

  clear(): void {
    PROCESS_SEGMENT_POOL.giveBack(this.#segments);
    this.#segments = [];
    this.#small.clear();
    this.#length = 0;
  }

  #moveToSegments(): void {
    const { bytes } = this.#small;
    this.#length = 0;
    this.#copy(bytes);
    this.#small.clear();
  }

  #copy(chunk: Buffer): void {
    let start = 0;
    while (start < chunk.length) {
      const offset = this.#length % SEGMENT_BYTES;
      if (offset === 0) this.#segments.push(PROCESS_SEGMENT_POOL.take());
      const segment = this.#segments.at(-1) as Buffer;
      const copied = chunk.copy(segment, offset, start);
      start += copied;
      this.#length += copied;
    }
  }
}
