/** A row of the platform's table service. */
export interface TableRow {
  readonly table: string;
  readonly key: string;
  /** JSON. */
  readonly value: unknown;
  /** Grows with every write of the row; starts at 1. */
  readonly version: number;
}

/** Names a row. */
export interface TableKey {
  readonly table: string;
  readonly key: string;
}

/**
 * One write of a transaction. `expectedVersion` is the version the row must
 * have, 0 for a row that must be absent, undefined for no condition. A null
 * value deletes the row.
 */
export interface TableWrite extends TableKey {
  readonly value: unknown;
  readonly expectedVersion?: number;
}

/** All writes of a transaction take effect, or none. */
export interface TableTransaction {
  readonly writes: readonly TableWrite[];
}

/** What became of a transaction whose answer arrived. */
export type TransactionResult =
  | { readonly committed: true; readonly versions: readonly number[] }
  | {
    readonly committed: false;
    /** The rows whose condition did not hold, as they stand; null if absent. */
    readonly conflicts: readonly {
      readonly table: string;
      readonly key: string;
      readonly row: TableRow | null;
    }[];
  };

/** Which rows to list, in the order of their keys. */
export interface TableScan {
  readonly table: string;
  readonly prefix: string;
  /** Lists keys after this one. */
  readonly after?: string;
  readonly limit: number;
}

/**
 * The platform's transactional table service. A call that fails before it was
 * sent throws `table_unavailable`; a write whose answer never came throws
 * `write_unknown`, and may have taken effect or take effect later.
 *
 * Source: the brief, "What the platform gives" and "What fails".
 */
export interface TableService {
  commit(transaction: TableTransaction): Promise<TransactionResult>;
  read(keys: readonly TableKey[]): Promise<readonly (TableRow | null)[]>;
  scan(scan: TableScan): Promise<readonly TableRow[]>;
}
