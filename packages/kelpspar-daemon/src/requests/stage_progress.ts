import type { TextPiece } from "kelpspar-shared";
import { OffsetAssembler } from "kelpspar-shared";

/**
 * Assembles the text of one stage from its records. A model engine's text is
 * forwarded piece by piece, and a later attempt continues it. A plain service
 * may answer a second call with different text, so continuing its answer would
 * join parts of two answers. Each attempt at a plain service therefore has its
 * own progress, which is used only when complete.
 */
export class StageProgress {
  readonly #onText: (text: string) => void;
  readonly #pieces: string[] = [];
  #assembler = new OffsetAssembler();

  constructor(options: { readonly onText?: (text: string) => void } = {}) {
    this.#onText = options.onText ?? (() => {});
  }

  /** Length of the gapless text, in UTF-16 units. */
  get length(): number {
    return this.#assembler.length;
  }

  get hasGap(): boolean {
    return this.#assembler.hasGap;
  }

  /** The gapless text received so far. */
  get text(): string {
    return this.#pieces.join("");
  }

  push(piece: TextPiece): void {
    const text = this.#assembler.push(piece);
    if (text === "") return;
    this.#pieces.push(text);
    this.#onText(text);
  }

  /** Drops the pieces after a gap, before another attempt fills the gap. */
  dropPiecesBeyondGap(): void {
    this.#assembler = new OffsetAssembler({ startOffset: this.length });
  }
}
