import type { ReportedEra } from "./table_store.ts";

/** One row, as of one moment. */
export interface RowAnswer {
  /** Undefined if the row doesn't exist. */
  readonly text: string | undefined;
  /** Version of the row's last change; 0 if the row doesn't exist. */
  readonly version: number;
  /** The store's steady clock, milliseconds. */
  readonly clockMilliseconds: number;
  readonly era: ReportedEra;
}

/** Access to single rows of the store. Calls throw when they fail. */
export interface RowStore {
  readRow(table: string, key: string): Promise<RowAnswer>;
  /**
   * Writes a row if it still has `version`; false if it has another one. A call
   * that throws may have written the row, or may do so later.
   */
  writeRow(
    table: string,
    key: string,
    options: { readonly text: string; readonly version: number },
  ): Promise<{ readonly isWritten: boolean; readonly era: ReportedEra }>;
}
