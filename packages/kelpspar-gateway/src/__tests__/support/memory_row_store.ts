import type { TimerService } from "kelpspar-shared";
import type { RowAnswer, RowStore } from "../../tables/row_store.ts";

interface StoredRow {
  readonly text: string;
  readonly version: number;
}

/** Single rows in memory, shared by all daemons of a test. */
export class MemoryRowStore implements RowStore {
  era = 1;
  isAway = false;
  /** Number of calls received. */
  calls = 0;
  readonly #timer: TimerService;
  readonly #rows = new Map<string, StoredRow>();
  #version = 0;

  constructor(timer: TimerService) {
    this.#timer = timer;
  }

  readRow(table: string, key: string): Promise<RowAnswer> {
    const row = this.#rows.get(`${table}/${key}`);
    return this.#answer({
      text: row?.text,
      version: row?.version ?? 0,
      clockMilliseconds: this.#timer.now(),
      era: this.era,
    });
  }

  writeRow(
    table: string,
    key: string,
    { text, version }: { readonly text: string; readonly version: number },
  ): Promise<{ readonly isWritten: boolean; readonly era: number }> {
    const name = `${table}/${key}`;
    const isWritten = (this.#rows.get(name)?.version ?? 0) === version &&
      !this.isAway;
    if (isWritten) this.#rows.set(name, { text, version: ++this.#version });
    return this.#answer({ isWritten, era: this.era });
  }

  /** Copies all rows, for `restore`. */
  backup(): ReadonlyMap<string, StoredRow> {
    return new Map(this.#rows);
  }

  restore(backup: ReadonlyMap<string, StoredRow>): void {
    this.#rows.clear();
    for (const [name, row] of backup) this.#rows.set(name, row);
    this.#version = Math.max(
      0,
      ...[...backup.values()].map((row) => row.version),
    );
    this.era++;
  }

  #answer<Answer>(answer: Answer): Promise<Answer> {
    this.calls++;
    return this.isAway
      ? Promise.reject(new Error("The store is away"))
      : Promise.resolve(answer);
  }
}
