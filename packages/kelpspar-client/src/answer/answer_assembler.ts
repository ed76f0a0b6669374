import type { ChunkRecord, EndRecord } from "kelpspar-shared";
import {
  extendChecksum,
  formatChecksum,
  OffsetAssembler,
} from "kelpspar-shared";

/**
 * What is known of an answer: pieces are missing, it is whole, or its text is
 * not the one that its end describes.
 */
export type AssemblyState = "incomplete" | "whole" | "corrupt";

/**
 * Puts one answer together from chunks that may be doubled, late, overlapping
 * or out of order, and tells a whole answer from a cut one. Only the length
 * and checksum in the end record make an answer whole; that a stream closed
 * in good order says nothing, since a proxy or a dying process closes it too.
 */
export class AnswerAssembler {
  readonly #pieces = new OffsetAssembler();
  #text = "";
  #end: EndRecord | undefined;

  /** The text without gaps so far. */
  get text(): string {
    return this.#text;
  }

  /** The end record, once it came. */
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

  /** Takes a chunk; returns the text that it makes whole, "" if none. */
  addChunk(chunk: ChunkRecord): string {
    const text = this.#pieces.push(chunk);
    this.#text += text;
    return text;
  }

  /** Takes the end record, before or after the last chunk. */
  addEnd(end: EndRecord): void {
    this.#end = end;
  }
}
