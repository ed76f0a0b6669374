/** A row of the platform's table service. */
export interface TableRow {
  readonly table: string;
  readonly key: string;
  /** A JSON value. */
  readonly value: unknown;
  /** Increases with every write of the row; starts at 1. */
  readonly version: number;
}

/** Identifies a row. */
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

/** Either all writes of a transaction take effect or none. */
export interface TableTransaction {
  readonly writes: readonly TableWrite[];
}

/** The result of a transaction whose response arrived. */
export type TransactionResult =
  | { readonly committed: true; readonly versions: readonly number[] }
  | {
    readonly committed: false;
    /** The current rows whose condition failed; null for absent rows. */
    readonly conflicts: readonly {
      readonly table: string;
      readonly key: string;
      readonly row: TableRow | null;
    }[];
  };

/** Selects the rows to list; rows are ordered by key. */
export interface TableScan {
  readonly table: string;
  readonly prefix: string;
  /** Lists only keys after this one. */
  readonly after?: string;
  readonly limit: number;
}

/**
 * The platform's transactional table service. A call that fails before it was
 * sent throws `table_unavailable`. A write without a response throws
 * `write_unknown`: it may have taken effect, or may still take effect later.
 *
 * Source: the brief, "What the platform gives" and "What fails".
 */
export interface TableService {
  commit(transaction: TableTransaction): Promise<TransactionResult>;
  read(keys: readonly TableKey[]): Promise<readonly (TableRow | null)[]>;
  scan(scan: TableScan): Promise<readonly TableRow[]>;
}
