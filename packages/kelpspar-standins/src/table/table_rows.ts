import type {
  TableKey,
  TableRow,
  TableScan,
  TableTransaction,
  TableWrite,
  TransactionResult,
} from "kelpspar-backends";
import { SortedKeys } from "./sorted_keys.ts";

interface StoredRow {
  /** The value as JSON text, so that readers can't modify it. */
  readonly text: string;
  readonly version: number;
}

interface StoredTable {
  readonly rows: Map<string, StoredRow>;
  readonly keys: SortedKeys;
}

/**
 * The rows of all tables, without faults: every operation takes effect at once.
 * A row that is deleted and written again restarts at version 1.
 */
export class TableRows {
  readonly #tables = new Map<string, StoredTable>();

  /** Writes all rows, or none if there is a conflict. */
  commit(transaction: TableTransaction): TransactionResult {
    const conflicts = transaction.writes
      .filter((write) => !this.#matchesExpectedVersion(write))
      .map(({ table, key }) => ({ table, key, row: this.get({ table, key }) }));
    if (conflicts.length > 0) return { committed: false, conflicts };
    const versions = transaction.writes.map((write) => this.#write(write));
    return { committed: true, versions };
  }

  /** Returns a row, or null when it is absent. */
  get({ table, key }: TableKey): TableRow | null {
    const stored = this.#tables.get(table)?.rows.get(key);
    if (stored === undefined) return null;
    const value: unknown = JSON.parse(stored.text);
    return { table, key, value, version: stored.version };
  }

  scan(scan: TableScan): TableRow[] {
    const keys = this.#tables.get(scan.table)?.keys.list(scan.prefix, {
      after: scan.after,
      limit: scan.limit,
    }) ?? [];
    return keys.flatMap((key) => this.get({ table: scan.table, key }) ?? []);
  }

  #matchesExpectedVersion(write: TableWrite): boolean {
    if (write.expectedVersion === undefined) return true;
    return this.#version(write) === write.expectedVersion;
  }

  #version({ table, key }: TableKey): number {
    return this.#tables.get(table)?.rows.get(key)?.version ?? 0;
  }

  #write(write: TableWrite): number {
    const { rows, keys } = this.#getOrCreateTable(write.table);
    if (write.value === null) {
      rows.delete(write.key);
      keys.delete(write.key);
      return 0;
    }
    const version = this.#version(write) + 1;
    rows.set(write.key, { text: JSON.stringify(write.value), version });
    keys.add(write.key);
    return version;
  }

  #getOrCreateTable(name: string): StoredTable {
    const existing = this.#tables.get(name);
    if (existing !== undefined) return existing;
    const table = { rows: new Map(), keys: new SortedKeys() };
    this.#tables.set(name, table);
    return table;
  }
}
