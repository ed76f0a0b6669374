/** A piece of a text and where it starts, in UTF-16 units. */
export interface TextPiece {
  readonly offset: number;
  readonly text: string;
}

/**
 * Puts a text together by offset. What goes wrong: pieces arrive late, twice,
 * overlapping or out of order; taken as they come they double or scramble the
 * text. Each unit of the text is taken once, from whichever piece brings it,
 * and pieces beyond a gap wait for it to close.
 */
export class OffsetAssembler {
  #length: number;
  #waiting: TextPiece[] = [];

  constructor(options: { readonly startOffset?: number } = {}) {
    this.#length = options.startOffset ?? 0;
  }

  /** The length of the text without gaps so far. */
  get length(): number {
    return this.#length;
  }

  /** True while pieces wait beyond a gap. */
  get hasGap(): boolean {
    return this.#waiting.length > 0;
  }

  /** Takes a piece; returns the text that it makes whole, "" if none. */
  push(piece: TextPiece): string {
    if (piece.offset > this.#length) {
      this.#waiting.push(piece);
      return "";
    }
    let whole = this.#take(piece);
    if (this.#waiting.length > 0) whole += this.#takeWaiting();
    return whole;
  }

  #take(piece: TextPiece): string {
    const known = this.#length - piece.offset;
    if (known >= piece.text.length) return "";
    const text = known === 0 ? piece.text : piece.text.slice(known);
    this.#length += text.length;
    return text;
  }

  #takeWaiting(): string {
    const waiting = this.#waiting.sort((a, b) => a.offset - b.offset);
    let whole = "";
    let taken = 0;
    for (const piece of waiting) {
      if (piece.offset > this.#length) break;
      whole += this.#take(piece);
      taken++;
    }
    this.#waiting = waiting.slice(taken);
    return whole;
  }
}
