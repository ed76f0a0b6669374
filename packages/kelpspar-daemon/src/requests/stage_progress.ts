import type { TextPiece } from "kelpspar-shared";
import { OffsetAssembler } from "kelpspar-shared";

/**
 * The text of one stage as its records arrive. A model engine's text goes on
 * to the caller piece by piece, and a later attempt continues it. What goes
 * wrong with plain services: one that is called again may answer in other
 * words, and halves of two answers would be joined. So each attempt at a plain
 * service has a progress of its own, which is used only once it is whole.
 */
export class StageProgress {
  readonly #onText: (text: string) => void;
  readonly #pieces: string[] = [];
  #assembler = new OffsetAssembler();

  constructor(options: { readonly onText?: (text: string) => void } = {}) {
    this.#onText = options.onText ?? (() => {});
  }

  /** Length of the text without gaps, in UTF-16 units. */
  get length(): number {
    return this.#assembler.length;
  }

  get hasGap(): boolean {
    return this.#assembler.hasGap;
  }

  /** The whole text so far. */
  get text(): string {
    return this.#pieces.join("");
  }

  push(piece: TextPiece): void {
    const text = this.#assembler.push(piece);
    if (text === "") return;
    this.#pieces.push(text);
    this.#onText(text);
  }

  /** Drops pieces beyond a gap, before another attempt fills it. */
  dropGap(): void {
    this.#assembler = new OffsetAssembler({ startOffset: this.length });
  }
}
