import type { ChunkRecord, EndRecord, FailureRecord } from "kelpspar-shared";
import { extendChecksum, formatChecksum } from "kelpspar-shared";

const HIGH_SURROGATE_AT_END = /[\ud800-\udbff]$/;

/** The record that ends an answer. */
export type FinalRecord = EndRecord | FailureRecord;

/**
 * The text of one answer as it grows, and its final record. Any number of
 * readers follow it from any offset, so a caller whose connection went silent
 * attaches again and misses nothing.
 */
export class AnswerLog {
  readonly #chunks: ChunkRecord[] = [];
  readonly #listeners = new Set<() => void>();
  #length = 0;
  #heldBack = "";
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

  /** How many readers follow the answer. */
  get readers(): number {
    return this.#listeners.size;
  }

  /**
   * Adds text. What goes wrong otherwise: an endpoint splits a character that
   * takes two units between two pieces; half of it has no UTF-8 form, so the
   * checksum differs from the caller's. The first half waits for the second.
   */
  append(text: string): void {
    if (this.#final !== undefined) return;
    const whole = this.#heldBack + text;
    this.#heldBack = HIGH_SURROGATE_AT_END.test(whole) ? whole.slice(-1) : "";
    this.#add(whole.slice(0, whole.length - this.#heldBack.length));
  }

  /** Says that no more text comes. */
  complete(): void {
    const rest = this.#heldBack;
    this.#heldBack = "";
    this.#add(rest);
  }

  #add(text: string): void {
    if (text === "") return;
    this.#chunks.push({ type: "chunk", offset: this.#length, text });
    this.#length += text.length;
    this.#checksum = extendChecksum(this.#checksum, text);
    this.#wake();
  }

  /** Ends the answer; only the first final record counts. */
  finish(final: FinalRecord): void {
    if (this.#final !== undefined) return;
    this.#final = final;
    this.#wake();
  }

  /** Tells `listener` of each change; returns the teardown. */
  registerListener(listener: () => void): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  /** The whole text so far. */
  text(): string {
    return this.#chunks.map((chunk) => chunk.text).join("");
  }

  /** The chunks from `offset` on; the first may be cut to start there. */
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

  #wake(): void {
    for (const listener of this.#listeners) listener();
  }
}
