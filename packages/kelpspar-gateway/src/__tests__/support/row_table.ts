import type {
  KeyRange,
  RowChanges,
  RowRangeStore,
  RowsWritten,
  StoredRow,
  StoredRows,
} from "../../tables/row_range_store.ts";
import type { ManualTimer } from "kelpspar-shared";

/** Duration of a call. */
const CALL_MILLISECONDS = 3;
/** The store's clock differs from those of the daemons. */
const CLOCK_OFFSET_MILLISECONDS = 1_000_000;

/** Rows of a simulated store on a manual clock; counts its calls. */
export class RowTable implements RowRangeStore {
  /** Calls aren't answered while set. */
  isAway = false;
  reads = 0;
  writes = 0;
  readonly #timer: ManualTimer;
  readonly #tables = new Map<string, Map<string, StoredRow>>();
  #version = 0;
  #era = 1;

  constructor(timer: ManualTimer) {
    this.#timer = timer;
  }

  /** Rows of a table. */
  rows(table: string): readonly StoredRow[] {
    return [...this.#tables.get(table)?.values() ?? []];
  }

  /** Restores a copy from before all writes. */
  restore(): void {
    this.#tables.clear();
    this.#era++;
  }

  readRows(table: string, range?: KeyRange): Promise<StoredRows> {
    this.reads++;
    return this.#call(() => ({
      rows: this.rows(table).filter(({ key }) =>
        range === undefined || (key >= range.from && key < range.to)
      ),
      clockMilliseconds: this.#timer.now() + CLOCK_OFFSET_MILLISECONDS,
      era: this.#era,
    }));
  }

  writeRows(
    table: string,
    { puts = [], removed = [] }: RowChanges,
  ): Promise<RowsWritten> {
    this.writes++;
    return this.#call(() => {
      const rows = this.#tables.get(table) ?? new Map<string, StoredRow>();
      this.#tables.set(table, rows);
      const isWritten = puts.every(({ key, version }) =>
        version === undefined || (rows.get(key)?.version ?? 0) === version
      );
      if (!isWritten) return { isWritten, era: this.#era };
      for (const { key, text } of puts) {
        rows.set(key, { key, text, version: ++this.#version });
      }
      for (const key of removed) rows.delete(key);
      return { isWritten, era: this.#era };
    });
  }

  #call<Answer>(answer: () => Answer): Promise<Answer> {
    return new Promise((resolve, reject) => {
      this.#timer.registerTimeout(() => {
        if (this.isAway) reject(new Error("The store is away"));
        else resolve(answer());
      }, CALL_MILLISECONDS);
    });
  }
}
