import type { ReportedEra } from "./table_store.ts";

/** A row that exists in the store. */
export interface StoredRow {
  readonly key: string;
  readonly text: string;
  /** Version of the row's last change. */
  readonly version: number;
}

/** Keys from `from`, without `to`, in ascending byte order. */
export interface KeyRange {
  readonly from: string;
  readonly to: string;
}

/** Rows of a table, and the store's steady clock in milliseconds. */
export interface StoredRows {
  readonly rows: readonly StoredRow[];
  readonly clockMilliseconds: number;
  readonly era: ReportedEra;
}

/** A row to write; with `version`, only if the row still has it. */
export interface RowPut {
  readonly key: string;
  readonly text: string;
  /** 0 if the row must not exist; undefined to write it in any case. */
  readonly version?: number;
}

/** Changes of one table that the store applies together. */
export interface RowChanges {
  readonly puts?: readonly RowPut[];
  /** Keys of rows to remove. */
  readonly removed?: readonly string[];
}

/** Result of a write; the call may be refused because a row has changed. */
export interface RowsWritten {
  readonly isWritten: boolean;
  readonly era: ReportedEra;
}

/** Most changes that a call may contain. */
export const MAXIMUM_ROW_CHANGES = 100;

/**
 * Access to ranges of rows of the store. Calls throw when they fail; a write
 * that throws may have been applied, or may be applied later.
 */
export interface RowRangeStore {
  /** Reads a table, or the part of it in `range`. */
  readRows(table: string, range?: KeyRange): Promise<StoredRows>;
  /** At most `MAXIMUM_ROW_CHANGES` changes. */
  writeRows(table: string, changes: RowChanges): Promise<RowsWritten>;
}
