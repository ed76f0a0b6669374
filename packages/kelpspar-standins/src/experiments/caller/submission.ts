import type { EndRecord, FailureRecord } from "kelpspar-shared";

/** How one submission of a request ended, as its caller saw it. */
export type SubmissionEnd =
  | { readonly type: "whole"; readonly text: string; readonly end: EndRecord }
  /** An end record that does not fit the text. */
  | { readonly type: "corrupt"; readonly text: string }
  | {
    readonly type: "failure";
    readonly failure: FailureRecord;
    /** What came of the answer before it failed. */
    readonly text: string;
  }
  /** No connection was made. */
  | { readonly type: "unreachable" }
  /** The connection ended without a final record. */
  | {
    readonly type: "cut";
    readonly text: string;
    /** True when the daemon had begun to answer. */
    readonly wasAccepted: boolean;
  }
  /** The caller gave up after its deadline. */
  | { readonly type: "timed_out"; readonly text: string };
