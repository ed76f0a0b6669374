import type { MalformedReason } from "kelpspar-http";

/** A connection that was closed because of what came on it. */
export interface MalformedAnswer {
  /** Id of the endpoint, or `address:port` of the store or another daemon. */
  readonly sender: string;
  readonly reason: MalformedReason;
  /** True if a call to the endpoint has failed with it. */
  readonly hasFailedCall: boolean;
}

/** Called for each malformed answer. */
export type MalformedAnswerListener = (answer: MalformedAnswer) => void;

/** Event bus for malformed answers on all connections that this daemon opens. */
export class MalformedAnswers {
  readonly #listeners = new Set<MalformedAnswerListener>();

  publish(answer: MalformedAnswer): void {
    for (const listener of this.#listeners) listener(answer);
  }

  registerListener(listener: MalformedAnswerListener): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }
}
