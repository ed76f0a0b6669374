import type { EndRecord, FailureRecord } from "kelpspar-shared";

/** How one submission of a request ended, from the caller's view. */
export type SubmissionEnd =
  | { readonly type: "whole"; readonly text: string; readonly end: EndRecord }
  /** The end record's length or checksum does not match the text. */
  | { readonly type: "corrupt"; readonly text: string }
  | {
    readonly type: "failure";
    readonly failure: FailureRecord;
    /** The text received before the failure. */
    readonly text: string;
  }
  /** No connection was established. */
  | { readonly type: "unreachable" }
  /** The connection ended without a final record. */
  | {
    readonly type: "cut";
    readonly text: string;
    /** True if the daemon had begun to answer. */
    readonly wasAccepted: boolean;
  }
  /** The caller gave up after its deadline. */
  | { readonly type: "timed_out"; readonly text: string };
