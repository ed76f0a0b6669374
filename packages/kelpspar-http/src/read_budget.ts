import { ReadHolding } from "./read_holding.ts";

/** Bounds the bytes of all unfinished bodies and events together. */
export class ReadBudget {
  #maximumBytes: number;
  readonly #holdings = new Set<ReadHolding>();
  #bytes = 0;

  constructor(maximumBytes: number) {
    this.#maximumBytes = maximumBytes;
  }

  /** Changes the limit; what is held then is cut at the next change. */
  set maximumBytes(maximumBytes: number) {
    this.#maximumBytes = maximumBytes;
  }

  /** Bytes that are held now. */
  get bytes(): number {
    return this.#bytes;
  }

  /**
   * Counts the bytes of one body. `cut` is called when it is the largest one and
   * all together exceed the limit; it has to give the body up.
   */
  open(cut: () => void): ReadHolding {
    const holding = new ReadHolding({
      cut,
      onChange: (bytes) => this.#change(bytes),
      onEnd: () => this.#holdings.delete(holding),
    });
    this.#holdings.add(holding);
    return holding;
  }

  #change(bytes: number): void {
    this.#bytes += bytes;
    while (this.#bytes > this.#maximumBytes) {
      const [first, ...others] = this.#holdings;
      if (first === undefined) return;
      const largest = others.reduce(
        (found, next) => next.bytes > found.bytes ? next : found,
        first,
      );
      largest.cut();
    }
  }
}
