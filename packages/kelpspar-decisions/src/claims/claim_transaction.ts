import type { ClaimRow } from "./claim_row.ts";

/** One write of a batch, in the form that the table service takes. */
export interface ClaimTableWrite {
  readonly table: string;
  readonly key: string;
  readonly value: ClaimRow;
  /** 0 for a row that must be absent. */
  readonly expectedVersion: number;
}

/** A batch of claim writes; all take effect or none. */
export interface ClaimTransaction {
  readonly writes: readonly ClaimTableWrite[];
}

/** The answer to a transaction, in the form that the table service gives. */
export type ClaimTransactionAnswer =
  | { readonly committed: true; readonly versions: readonly number[] }
  | {
    readonly committed: false;
    readonly conflicts: readonly {
      readonly key: string;
      readonly row:
        | { readonly value: unknown; readonly version: number }
        | null;
    }[];
  };

/**
 * What became of a transaction: an answer, `unknown` when the answer was lost,
 * or `unavailable` when it is proved that nothing was written.
 */
export type ClaimTransactionOutcome =
  | ClaimTransactionAnswer
  | "unknown"
  | "unavailable";
