import type { ChunkRecord, EndRecord, FailureRecord } from "kelpspar-shared";
import { extendChecksum, formatChecksum } from "kelpspar-shared";

const HIGH_SURROGATE_AT_END = /[\ud800-\udbff]$/;

/** The record that ends an answer. */
export type FinalRecord = EndRecord | FailureRecord;

/**
 * Append-only log of one answer's text, with its final record. Any number of
 * readers read it from any offset, so a caller can reattach after a broken
 * connection without losing text.
 */
export class AnswerLog {
  readonly #chunks: ChunkRecord[] = [];
  readonly #listeners = new Set<() => void>();
  #length = 0;
  #pendingSurrogate = "";
  #checksum = 0;
  #final: FinalRecord | undefined;

  /** Length of the text so far, in UTF-16 units. */
  get length(): number {
    return this.#length;
  }

  /** CRC-32 of the text so far, eight hexadecimal digits. */
  get checksum(): string {
    return formatChecksum(this.#checksum);
  }

  get final(): FinalRecord | undefined {
    return this.#final;
  }

  /** Number of attached readers. */
  get readers(): number {
    return this.#listeners.size;
  }

  /**
   * Appends text. An endpoint may split a surrogate pair between two pieces.
   * Half a pair has no UTF-8 encoding, so the checksum would differ from the
   * caller's; a trailing high surrogate is held until the next piece arrives.
   */
  append(text: string): void {
    if (this.#final !== undefined) return;
    const pendingText = this.#pendingSurrogate + text;
    this.#pendingSurrogate = HIGH_SURROGATE_AT_END.test(pendingText)
      ? pendingText.slice(-1)
      : "";
    this.#appendChunk(
      pendingText.slice(0, pendingText.length - this.#pendingSurrogate.length),
    );
  }

  /** Appends a pending surrogate; no more text follows. */
  complete(): void {
    const rest = this.#pendingSurrogate;
    this.#pendingSurrogate = "";
    this.#appendChunk(rest);
  }

  #appendChunk(text: string): void {
    if (text === "") return;
    this.#chunks.push({ type: "chunk", offset: this.#length, text });
    this.#length += text.length;
    this.#checksum = extendChecksum(this.#checksum, text);
    this.#notifyListeners();
  }

  /** Ends the answer; only the first final record counts. */
  finish(final: FinalRecord): void {
    if (this.#final !== undefined) return;
    this.#final = final;
    this.#notifyListeners();
  }

  /** Calls `listener` on each change; returns the teardown. */
  registerListener(listener: () => void): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  /** The text so far. */
  text(): string {
    return this.#chunks.map((chunk) => chunk.text).join("");
  }

  /** The chunks from `offset` on; the first is truncated to start there. */
  readFrom(offset: number): readonly ChunkRecord[] {
    const start = this.#findChunk(offset);
    const chunks = this.#chunks.slice(start);
    const first = chunks[0];
    if (first === undefined || first.offset >= offset) return chunks;
    const text = first.text.slice(offset - first.offset);
    chunks[0] = { type: "chunk", offset, text };
    return chunks;
  }

  #findChunk(offset: number): number {
    let low = 0;
    let high = this.#chunks.length;
    while (low < high) {
      const middle = (low + high) >>> 1;
      const chunk = this.#chunks[middle];
      if (chunk !== undefined && chunk.offset + chunk.text.length <= offset) {
        low = middle + 1;
      } else {
        high = middle;
      }
    }
    return low;
  }

  #notifyListeners(): void {
    for (const listener of this.#listeners) listener();
  }
}
