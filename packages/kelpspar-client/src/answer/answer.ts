import type { StageCost } from "kelpspar-shared";

/** A whole answer: complete, checked, and the request's own. */
export interface Answer {
  readonly requestId: string;
  readonly text: string;
  readonly cost: readonly StageCost[];
  /** Milliseconds from arrival at the daemon to the answer's end. */
  readonly elapsedMilliseconds: number;
}
