import type { TextPiece } from "kelpspar-shared";
import { OffsetAssembler } from "kelpspar-shared";

/**
 * The text of one stage over all its attempts. A model engine's text goes on
 * to the caller piece by piece, and another attempt continues it. What goes
 * wrong otherwise: a plain service that is called again may answer in other
 * words, and halves of two answers would be joined. So a plain service's text
 * is kept back until its attempt is whole, and dropped with the attempt.
 */
export class StageProgress {
  readonly #streams: boolean;
  readonly #onText: (text: string) => void;
  #assembler = new OffsetAssembler();
  #pieces: string[] = [];

  constructor(options: {
    readonly streams: boolean;
    readonly onText: (text: string) => void;
  }) {
    this.#streams = options.streams;
    this.#onText = options.onText;
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
    if (this.#streams) this.#onText(text);
  }

  /** Prepares for another attempt. */
  startAttempt(): void {
    if (this.#streams) {
      this.#assembler = new OffsetAssembler({ startOffset: this.length });
      return;
    }
    this.#assembler = new OffsetAssembler();
    this.#pieces = [];
  }

  /** Says that the result is whole. */
  complete(): void {
    if (!this.#streams) this.#onText(this.text);
  }
}
