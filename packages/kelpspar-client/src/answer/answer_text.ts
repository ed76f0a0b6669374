import type { ChunkRecord, EndRecord } from "kelpspar-shared";
import type { Answer } from "./answer.ts";
import type { AssemblyState } from "./answer_assembler.ts";
import { AnswerAssembler } from "./answer_assembler.ts";

/**
 * The text of a request over all its runs. What goes wrong: a request that is
 * retried elsewhere may be answered with another text, and pieces of two runs
 * make an answer that no run gave. It would show as a checksum that fails, or,
 * for a reader of pieces, not at all. So each run is assembled from its own
 * start, and what a reader already has must be how the new run begins.
 */
export class AnswerText {
  #assembler = new AnswerAssembler();
  #delivered = "";
  #isVerified = true;

  /** Where a resumed stream has to start, in UTF-16 units. */
  get offset(): number {
    return this.#assembler.text.length;
  }

  get state(): AssemblyState {
    return this.#assembler.state;
  }

  /** Forgets the run so far, but not what the reader has. */
  startOver(): void {
    this.#assembler = new AnswerAssembler();
    this.#isVerified = this.#delivered === "";
  }

  addChunk(chunk: ChunkRecord): void {
    this.#assembler.addChunk(chunk);
  }

  addEnd(end: EndRecord): void {
    this.#assembler.addEnd(end);
  }

  /** True once the reader's text and the run's are known to differ. */
  hasDiverged(): boolean {
    if (this.#isVerified) return false;
    const { text } = this.#assembler;
    if (this.#assembler.state === "incomplete") {
      if (text.length < this.#delivered.length) return false;
    }
    this.#isVerified = text.startsWith(this.#delivered);
    return !this.#isVerified;
  }

  /** Takes the text that the reader lacks; "" while there is none. */
  takeDeliverable(): string {
    const { text } = this.#assembler;
    if (!this.#isVerified || text.length <= this.#delivered.length) return "";
    const piece = text.slice(this.#delivered.length);
    this.#delivered = text;
    return piece;
  }

  /** The answer, once it is whole. */
  toAnswer(): Answer | undefined {
    const { end, state, text } = this.#assembler;
    if (end === undefined || state !== "whole") return undefined;
    const { requestId, cost, elapsedMilliseconds } = end;
    return { requestId, text, cost, elapsedMilliseconds };
  }
}
