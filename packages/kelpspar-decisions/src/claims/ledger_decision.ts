import type { StoredResult } from "./stored_result.ts";

/** A request as the ledger sees it. */
export interface LedgerRequest {
  readonly account: string;
  readonly key: string;
  readonly bodyHash: string;
  readonly requestId: string;
}

/** What the ledger says to a request. */
export type LedgerDecision =
  /** Not known here: run it, after a claim in the table when `bound` is false. */
  | { readonly type: "run"; readonly bound: boolean }
  /** It is running here under this request id. */
  | { readonly type: "attach"; readonly requestId: string }
  | { readonly type: "completed"; readonly result: StoredResult }
  /** The key was used with another body. */
  | { readonly type: "reused" }
  | { readonly type: "refused"; readonly result: LedgerRefusal };

/** What the ledger knows of a request that it ran or is running. */
export type LedgerFinding =
  & { readonly requestId: string }
  & (
    | { readonly state: "running" | "outcome_unknown" | "result_expired" }
    | { readonly state: "completed"; readonly result: StoredResult }
  );

/** The result codes of the ledger's refusals. */
export type LedgerRefusal =
  | "malformed_request"
  | "outcome_unknown"
  | "overloaded"
  | "result_expired"
  | "wrong_daemon";
