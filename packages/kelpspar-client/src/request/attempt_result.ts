import type { FailureRecord } from "kelpspar-shared";
import type { Answer } from "../answer/answer.ts";

/** What became of one exchange. */
export type AttemptResult =
  | { readonly type: "whole"; readonly answer: Answer }
  | UnfinishedResult;

/** What became of an exchange that brought no whole answer. */
export type UnfinishedResult = RefusedResult | FailedResult | CutResult;

/** No connection was made: proof that nothing arrived. */
export interface RefusedResult {
  readonly type: "refused";
  readonly message: string;
}

/** A daemon said that there is no answer. */
export interface FailedResult {
  readonly type: "failed";
  readonly record: FailureRecord;
  /** True when the record ends a run; else it refuses the exchange. */
  readonly accepted: boolean;
}

/** The exchange broke off; it proves nothing. */
export interface CutResult {
  readonly type: "cut";
  readonly message: string;
  /** True when the daemon named the run before the break. */
  readonly accepted: boolean;
  /** True when the exchange brought text that was missing. */
  readonly progressed: boolean;
  /** True when all arrived but is not the text that its end describes. */
  readonly corrupt: boolean;
}
