import type { ChunkRecord, EndRecord } from "kelpspar-shared";
import type { Answer } from "./answer.ts";
import type { AssemblyState } from "./answer_assembler.ts";
import { AnswerAssembler } from "./answer_assembler.ts";

/**
 * The text of a request's answer across all its runs. A request that is retried
 * at another daemon may produce a different text. Mixing pieces of two runs
 * would give an answer that neither run produced: the checksum would fail, and
 * a reader of pieces would not notice at all. So each run is assembled from its
 * own start, and the text already delivered must be a prefix of the new run.
 */
export class AnswerText {
  #assembler = new AnswerAssembler();
  #delivered = "";
  #isVerified = true;

  /** The offset at which a resumed stream must start, in UTF-16 code units. */
  get offset(): number {
    return this.#assembler.text.length;
  }

  get state(): AssemblyState {
    return this.#assembler.state;
  }

  /** Discards the run's text, but keeps the text already delivered. */
  restart(): void {
    this.#assembler = new AnswerAssembler();
    this.#isVerified = this.#delivered === "";
  }

  addChunk(chunk: ChunkRecord): void {
    this.#assembler.addChunk(chunk);
  }

  addEnd(end: EndRecord): void {
    this.#assembler.addEnd(end);
  }

  /** True once the delivered text is known to differ from the run's text. */
  hasDiverged(): boolean {
    if (this.#isVerified) return false;
    const { text } = this.#assembler;
    if (this.#assembler.state === "incomplete") {
      if (text.length < this.#delivered.length) return false;
    }
    this.#isVerified = text.startsWith(this.#delivered);
    return !this.#isVerified;
  }

  /** Returns the undelivered text and marks it as delivered; "" if none. */
  consumeUndelivered(): string {
    const { text } = this.#assembler;
    if (!this.#isVerified || text.length <= this.#delivered.length) return "";
    const piece = text.slice(this.#delivered.length);
    this.#delivered = text;
    return piece;
  }

  /** The answer if it is whole, otherwise undefined. */
  toAnswer(): Answer | undefined {
    const { end, state, text } = this.#assembler;
    if (end === undefined || state !== "whole") return undefined;
    const { requestId, cost, elapsedMilliseconds } = end;
    return { requestId, text, cost, elapsedMilliseconds };
  }
}
