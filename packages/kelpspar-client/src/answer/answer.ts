import type { StageCost } from "kelpspar-shared";

/** A whole answer: complete, verified, and of this request. */
export interface Answer {
  readonly requestId: string;
  readonly text: string;
  readonly cost: readonly StageCost[];
  /** Milliseconds from arrival at the daemon to the end of the answer. */
  readonly elapsedMilliseconds: number;
}
