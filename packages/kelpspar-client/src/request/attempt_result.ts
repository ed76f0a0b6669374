import type { FailureRecord } from "kelpspar-shared";
import type { Answer } from "../answer/answer.ts";

/** The result of one exchange. */
export type AttemptResult =
  | { readonly type: "whole"; readonly answer: Answer }
  | UnfinishedResult;

/** The result of an exchange without a whole answer. */
export type UnfinishedResult = RefusedResult | FailedResult | CutResult;

/** No connection was opened, which proves that nothing arrived. */
export interface RefusedResult {
  readonly type: "refused";
  readonly message: string;
}

/** A daemon sent a failure record. */
export interface FailedResult {
  readonly type: "failed";
  readonly record: FailureRecord;
  /** True when the record ends a run; otherwise it refuses the exchange. */
  readonly accepted: boolean;
}

/** The exchange was cut off, so its outcome is unknown. */
export interface CutResult {
  readonly type: "cut";
  readonly message: string;
  /** True when the daemon sent the run's id before the cut. */
  readonly accepted: boolean;
  /** True when the exchange delivered text that was missing. */
  readonly progressed: boolean;
  /** True when the text is complete but does not match its end record. */
  readonly corrupt: boolean;
}
