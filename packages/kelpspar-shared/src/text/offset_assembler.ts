/** A piece of a text and its start offset, in UTF-16 units. */
export interface TextPiece {
  readonly offset: number;
  readonly text: string;
}

/**
 * Assembles a text from pieces by their offset. Pieces may arrive late, twice,
 * overlapping or out of order; concatenating them in order of arrival would
 * duplicate or scramble the text. Each unit of the text is used once, from the
 * first piece that contains it, and pieces beyond a gap are kept until the gap
 * is closed.
 */
export class OffsetAssembler {
  #length: number;
  #pendingPieces: TextPiece[] = [];

  constructor(options: { readonly startOffset?: number } = {}) {
    this.#length = options.startOffset ?? 0;
  }

  /** The length of the text assembled without gaps so far. */
  get length(): number {
    return this.#length;
  }

  /** True while pieces beyond a gap are pending. */
  get hasGap(): boolean {
    return this.#pendingPieces.length > 0;
  }

  /** Adds a piece; returns the text that it appends, or "" if none. */
  push(piece: TextPiece): string {
    if (piece.offset > this.#length) {
      this.#pendingPieces.push(piece);
      return "";
    }
    let appended = this.#append(piece);
    if (this.#pendingPieces.length > 0) appended += this.#appendPending();
    return appended;
  }

  #append(piece: TextPiece): string {
    const overlap = this.#length - piece.offset;
    if (overlap >= piece.text.length) return "";
    const text = overlap === 0 ? piece.text : piece.text.slice(overlap);
    this.#length += text.length;
    return text;
  }

  #appendPending(): string {
    const waiting = this.#pendingPieces.sort((a, b) => a.offset - b.offset);
    let appended = "";
    let used = 0;
    for (const piece of waiting) {
      if (piece.offset > this.#length) break;
      appended += this.#append(piece);
      used++;
    }
    this.#pendingPieces = waiting.slice(used);
    return appended;
  }
}
