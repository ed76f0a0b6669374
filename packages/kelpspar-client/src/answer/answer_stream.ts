import type { Answer } from "./answer.ts";
import { KelpsparError } from "kelpspar-shared";

/**
 * An answer as it comes. Iterate for pieces of text, then call `whole`; or
 * call `whole` alone. Nothing is sent, and no deadline begins, before the
 * first of the two. Leaving the iteration early cancels the request.
 */
export class AnswerStream implements AsyncIterable<string> {
  readonly #start: () => AsyncGenerator<string, Answer, void>;
  #pieces: AsyncGenerator<string, Answer, void> | undefined;
  #answer: Answer | undefined;

  constructor(start: () => AsyncGenerator<string, Answer, void>) {
    this.#start = start;
  }

  /** Throws KelpsparError when no whole answer came. */
  async *[Symbol.asyncIterator](): AsyncGenerator<string, void, void> {
    if (this.#answer !== undefined) return;
    this.#pieces ??= this.#start();
    this.#answer = yield* this.#pieces;
  }

  /**
   * Reads what is left and returns the whole answer. Throws KelpsparError
   * when there is none.
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

/** A stream that failed or was left early ends with nothing. */
function checkWhole(answer: Answer | undefined): Answer {
  if (answer !== undefined) return answer;
  throw new KelpsparError(
    "stream_cut",
    "There is no whole answer: its stream failed or was left before its end",
  );
}
