import type { TablePage, TableRow } from "./table_store.ts";

/** Receives the contents of a table. */
export interface TableListener {
  /** Receives a whole table; missing keys were removed. */
  readonly applyTable: (page: TablePage) => void;
  /** Receives changes in order; may be empty. */
  readonly applyChanges: (page: TablePage) => void;
}

/** Options of `TableMirror`. */
export interface TableMirrorOptions extends TableListener {
  /**
   * Whether a rewritten row has no new information. Endpoints rewrite theirs
   * about every second; if relayed, these rows would be nearly all the traffic
   * to followers.
   */
  readonly isSameRow?:
    | ((known: TableRow, row: TableRow) => boolean)
    | undefined;
  /** Called when there are changes to relay. */
  readonly changed?: () => void;
}

/** Changes of a table as relayed between daemons. */
export interface TableChanges extends TablePage {
  readonly table: string;
  /** The whole table; otherwise only the changes after `after`. */
  readonly isWhole: boolean;
  /** The version from which the changes continue. */
  readonly after: number;
  /**
   * Keys of a whole table's rows that are left out because the follower has
   * them.
   */
  readonly unchanged?: readonly string[] | undefined;
}

/** Outcome of merging relayed changes. */
export type MergeOutcome = "taken" | "known" | "skips_versions";

/** Removals kept for followers; one that misses more gets the whole table. */
const MAXIMUM_REMOVALS = 500;

/**
 * This daemon's copy of a table of the store: read from the store or received
 * from another daemon, merged by version, and kept so that it can be relayed.
 * Only versions of the same era are compared; `invalidate` starts the next era.
 */
export class TableMirror {
  readonly table: string;
  readonly #options: TableMirrorOptions;
  readonly #rows = new Map<string, TableRow>();
  #version: number | undefined;
  /** All changes after this version are kept. */
  #completeSince = 0;
  #generation = 0;

  constructor(table: string, options: TableMirrorOptions) {
    this.table = table;
    this.#options = options;
  }

  /** Version of the copy; undefined before the first read. */
  get version(): number | undefined {
    return this.#version;
  }

  /** Rises each time the copy is invalidated. */
  get generation(): number {
    return this.#generation;
  }

  /** Discards rows and versions; the table must be read again. */
  invalidate(): void {
    this.#rows.clear();
    this.#version = undefined;
    this.#generation++;
  }

  /**
   * Replaces the rows by a table that was read whole. Its rows may be newer than
   * its version, if it was read in pages.
   */
  applyTable(page: TablePage): void {
    const newer = [...this.#rows.values()].filter(({ version }) =>
      version > page.version
    );
    this.#rows.clear();
    for (const row of [...newer, ...page.rows]) {
      const known = this.#rows.get(row.key);
      if (known === undefined || row.version >= known.version) {
        this.#rows.set(row.key, row);
      }
    }
    this.#version = page.version;
    this.#completeSince = page.version;
    this.#options.applyTable(page);
    this.#options.changed?.();
  }

  /** Applies all changes after a version that was known. */
  applyChanges(page: TablePage): void {
    this.#applyRows(page, (row) => this.#isNewInformation(row));
  }

  /** Merges changes that another daemon relayed. */
  merge(changes: TableChanges): MergeOutcome {
    const known = this.#version ?? Number.NEGATIVE_INFINITY;
    if (changes.isWhole) {
      if (changes.version < known) return "known";
      const rows = this.#rowsOf(changes);
      if (rows === undefined) return "skips_versions";
      this.applyTable({ ...changes, rows });
      return "taken";
    }
    if (changes.after > known) return "skips_versions";
    if (changes.version < known) return "known";
    // Relayed changes omit removals of rows that returned. A follower that saw
    // the removal needs the row again, even if this daemon has the same one.
    this.#applyRows(changes, (row) => this.#isNewer(row));
    return "taken";
  }

  /**
   * Changes for a follower whose copy has `version`. With `omitsUnchanged`, rows
   * that it has are left out of a whole table. When all daemons start together,
   * half of them read the tables before the reader that they follow did, and the
   * configuration was sent a second time over their links.
   */
  changesSince(
    version: number | null,
    options: { readonly omitsUnchanged?: boolean } = {},
  ): TableChanges | undefined {
    const { table } = this;
    const own = this.#version;
    if (own === undefined) return undefined;
    const isWhole = version === null || version < this.#completeSince;
    const all = [...this.#rows.values()].filter((row) =>
      isWhole ? !row.isRemoved : row.version > version
    );
    all.sort((first, second) => first.version - second.version);
    const after = version ?? 0;
    const changes = { table, isWhole, after, version: own };
    if (!isWhole || version === null || options.omitsUnchanged !== true) {
      return { ...changes, rows: all };
    }
    const rows = all.filter((row) => row.version > version);
    const unchanged = all.filter((row) => row.version <= version)
      .map(({ key }) => key);
    return { ...changes, rows, unchanged };
  }

  /** Rows of a whole table; undefined if one that was left out is missing. */
  #rowsOf({ rows, unchanged = [] }: TableChanges):
    | readonly TableRow[]
    | undefined {
    const own = unchanged.flatMap((key) => {
      const row = this.#rows.get(key);
      return row === undefined || row.isRemoved ? [] : [row];
    });
    return own.length === unchanged.length ? [...own, ...rows] : undefined;
  }

  #applyRows(page: TablePage, isNew: (row: TableRow) => boolean): void {
    let isChanged = false;
    for (const row of page.rows) {
      if (!isNew(row)) continue;
      this.#rows.set(row.key, row);
      isChanged = true;
    }
    this.#version = Math.max(this.#version ?? 0, page.version);
    this.#dropOldRemovals();
    this.#options.applyChanges(page);
    if (isChanged) this.#options.changed?.();
  }

  #isNewer({ key, version }: TableRow): boolean {
    const known = this.#rows.get(key);
    return known === undefined || version >= known.version;
  }

  #isNewInformation(row: TableRow): boolean {
    if (!this.#isNewer(row)) return false;
    const known = this.#rows.get(row.key);
    if (known === undefined) return true;
    const isSame = !row.isRemoved && !known.isRemoved &&
      this.#options.isSameRow?.(known, row) === true;
    return !isSame;
  }

  #dropOldRemovals(): void {
    const removed = [...this.#rows.values()].filter((row) => row.isRemoved);
    if (removed.length <= MAXIMUM_REMOVALS) return;
    removed.sort((first, second) => first.version - second.version);
    const dropped = removed.slice(0, removed.length - MAXIMUM_REMOVALS);
    for (const { key, version } of dropped) {
      this.#rows.delete(key);
      this.#completeSince = Math.max(this.#completeSince, version);
    }
  }
}
