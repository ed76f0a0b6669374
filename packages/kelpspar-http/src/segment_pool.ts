/** Size of a segment. */
export const SEGMENT_BYTES = 64 * 1024;
/** So many are kept when none is in use. */
const MINIMUM_KEPT_SEGMENTS = 64;

/**
 * Memory for large bodies, which is used again at once. Buffers that only the
 * garbage collector frees take several times what is held, since it waits until
 * 64 MB or more can be freed.
 */
export class SegmentPool {
  readonly #free: Buffer[] = [];
  #taken = 0;

  /** A segment with arbitrary contents. */
  take(): Buffer {
    this.#taken++;
    return this.#free.pop() ?? Buffer.allocUnsafeSlow(SEGMENT_BYTES);
  }

  /** Returns segments that nobody reads any more. */
  giveBack(segments: readonly Buffer[]): void {
    this.#taken -= segments.length;
    this.#free.push(...segments);
    const kept = Math.max(MINIMUM_KEPT_SEGMENTS, this.#taken);
    if (this.#free.length > kept) this.#free.length = kept;
  }
}

/** The pool of this process. */
export const PROCESS_SEGMENT_POOL = new SegmentPool();
