import type { StoredResult } from "./stored_result.ts";

/** A request as seen by the ledger. */
export interface LedgerRequest {
  readonly account: string;
  readonly key: string;
  readonly bodyHash: string;
  readonly requestId: string;
}

/** Decision of the ledger on a request. */
export type LedgerDecision =
  /**
   * Unknown key: run the request, after a claim in the table if `bound` is
   * false.
   */
  | { readonly type: "run"; readonly bound: boolean }
  /** The request is running at this daemon under this request id. */
  | { readonly type: "attach"; readonly requestId: string }
  | { readonly type: "completed"; readonly result: StoredResult }
  /** The key was used with a different body. */
  | { readonly type: "reused" }
  | { readonly type: "refused"; readonly result: LedgerRefusal };

/** State of a request that this daemon has run or is running. */
export type LedgerLookup =
  & { readonly requestId: string }
  & (
    | { readonly state: "running" | "outcome_unknown" | "result_expired" }
    | { readonly state: "completed"; readonly result: StoredResult }
  );

/** Result codes of the ledger's refusals. */
export type LedgerRefusal =
  | "malformed_request"
  | "outcome_unknown"
  | "overloaded"
  | "result_expired"
  | "wrong_daemon";
