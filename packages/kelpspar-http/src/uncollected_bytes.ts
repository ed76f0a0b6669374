/** Time until the garbage collector has usually freed a buffer. */
const COLLECTED_AFTER_MILLISECONDS = 1_000;

interface ReleasedBytes {
  readonly bytes: number;
  readonly collectedAt: number;
}

/** Bytes of released buffers that are probably not collected yet. */
export class UncollectedBytes {
  readonly #now: () => number;
  /** In the order of their times. */
  #released: ReleasedBytes[] = [];
  #bytes = 0;

  constructor(now: () => number) {
    this.#now = now;
  }

  get bytes(): number {
    const now = this.#now();
    const left = this.#released.findIndex(({ collectedAt }) =>
      collectedAt > now
    );
    const collected = left === -1 ? this.#released.length : left;
    if (collected > 0) {
      for (const { bytes } of this.#released.splice(0, collected)) {
        this.#bytes -= bytes;
      }
    }
    return this.#bytes;
  }

  add(bytes: number): void {
    const collectedAt = this.#now() + COLLECTED_AFTER_MILLISECONDS;
    this.#released.push({ bytes, collectedAt });
    this.#bytes += bytes;
  }
}
