import type { ChunkRecord, EndRecord } from "kelpspar-shared";
import {
  extendChecksum,
  formatChecksum,
  OffsetAssembler,
} from "kelpspar-shared";

/**
 * The state of an answer: chunks are missing, it is whole, or its text does not
 * match the length or checksum in its end record.
 */
export type AssemblyState = "incomplete" | "whole" | "corrupt";

/**
 * Assembles one answer from chunks that may be duplicated, late, overlapping or
 * out of order, and distinguishes a whole answer from a truncated one. An
 * answer is whole only if it matches the length and checksum in its end record.
 * A clean close of the stream proves nothing, because a proxy or an exiting
 * process also closes it cleanly.
 */
export class AnswerAssembler {
  readonly #pieces = new OffsetAssembler();
  #text = "";
  #end: EndRecord | undefined;

  /** The contiguous text received so far. */
  get text(): string {
    return this.#text;
  }

  /** The end record, once received. */
  get end(): EndRecord | undefined {
    return this.#end;
  }

  get state(): AssemblyState {
    const end = this.#end;
    if (end === undefined) return "incomplete";
    if (this.#text.length < end.length) return "incomplete";
    if (this.#text.length > end.length) return "corrupt";
    const checksum = formatChecksum(extendChecksum(0, this.#text));
    return checksum === end.checksum ? "whole" : "corrupt";
  }

  /** Adds a chunk; returns the text that became contiguous, "" if none. */
  addChunk(chunk: ChunkRecord): string {
    const text = this.#pieces.push(chunk);
    this.#text += text;
    return text;
  }

  /** Adds the end record, which may arrive before or after the last chunk. */
  addEnd(end: EndRecord): void {
    this.#end = end;
  }
}
