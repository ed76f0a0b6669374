import type { ClaimRow } from "./claim_row.ts";

/** One write of a batch, as sent to the table service. */
export interface ClaimTableWrite {
  readonly table: string;
  readonly key: string;
  readonly value: ClaimRow;
  /** 0 if the row must be absent. */
  readonly expectedVersion: number;
}

/** An atomic batch of claim writes. */
export interface ClaimTransaction {
  readonly writes: readonly ClaimTableWrite[];
}

/** Answer of the table service to a transaction. */
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
 * Outcome of a transaction: an answer, `unknown` if the answer was lost, or
 * `unavailable` if it is proved that nothing was written.
 */
export type ClaimTransactionOutcome =
  | ClaimTransactionAnswer
  | "unknown"
  | "unavailable";
