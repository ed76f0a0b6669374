import type { Answer } from "./answer.ts";
import { KelpsparError } from "kelpspar-shared";

/**
 * An answer that is read as it arrives. Either iterate over pieces of text and
 * then call `whole`, or call only `whole`. The request is sent and its deadline
 * starts at the first of these calls. Leaving the iteration early cancels the
 * request.
 */
export class AnswerStream implements AsyncIterable<string> {
  readonly #start: () => AsyncGenerator<string, Answer, void>;
  #pieces: AsyncGenerator<string, Answer, void> | undefined;
  #answer: Answer | undefined;

  constructor(start: () => AsyncGenerator<string, Answer, void>) {
    this.#start = start;
  }

  /** Yields pieces of text. Throws KelpsparError without a whole answer. */
  async *[Symbol.asyncIterator](): AsyncGenerator<string, void, void> {
    if (this.#answer !== undefined) return;
    this.#pieces ??= this.#start();
    this.#answer = yield* this.#pieces;
  }

  /**
   * Reads the rest of the stream and returns the whole answer. Throws
   * KelpsparError if there is none.
   */
  async whole(): Promise<Answer> {
    this.#pieces ??= this.#start();
    while (this.#answer === undefined) {
      const step = await this.#pieces.next();
      if (step.done) this.#answer = checkWhole(step.value);
    }
    return this.#answer;
  }
}

/** A stream that failed or was left early has no answer. */
function checkWhole(answer: Answer | undefined): Answer {
  if (answer !== undefined) return answer;
  throw new KelpsparError(
    "stream_cut",
    "Cannot return the whole answer: its stream failed or was closed early",
  );
}
