import type { TablePage, TableRow } from "./table_store.ts";

/** Takes what is learned of a table. */
export interface TableListener {
  /** Takes a whole table; keys that it lacks are gone. */
  readonly takeTable: (page: TablePage) => void;
  /** Takes changes in order; maybe none. */
  readonly takeChanges: (page: TablePage) => void;
}

/** What a mirror is made from. */
export interface TableMirrorOptions extends TableListener {
  /**
   * Whether a row that was written again says nothing new. Endpoints write
   * theirs every second or so; passed on, that would be nearly all that
   * followers are told.
   */
  readonly isSameRow?:
    | ((known: TableRow, row: TableRow) => boolean)
    | undefined;
  /** Told when there is something to pass on. */
  readonly changed?: () => void;
}

/** What one daemon passes on to another of a table. */
export interface TableChanges extends TablePage {
  readonly table: string;
  /** The table as it is; otherwise what changed after `after`. */
  readonly isWhole: boolean;
  /** The version that the changes go on from. */
  readonly after: number;
}

/** What became of passed on changes. */
export type MergeOutcome = "taken" | "known" | "skips_versions";

/** Removals that are kept to be told; who lacks more is told the table. */
const MOST_REMOVALS = 500;

/**
 * What this daemon knows of a table of the store: read by itself or told by
 * another daemon, merged by version, and kept so that it can be passed on.
 * Versions of one era only are compared; `forget` begins the next.
 */
export class TableMirror {
  readonly table: string;
  readonly #options: TableMirrorOptions;
  readonly #rows = new Map<string, TableRow>();
  #version: number | undefined;
  /** Changes after this version are all kept. */
  #completeSince = 0;
  #generation = 0;

  constructor(table: string, options: TableMirrorOptions) {
    this.table = table;
    this.#options = options;
  }

  /** Up to which all is known; undefined before the first read. */
  get version(): number | undefined {
    return this.#version;
  }

  /** Rises when what was known became void. */
  get generation(): number {
    return this.#generation;
  }

  /** Makes void what is known of versions; rows must be read anew. */
  forget(): void {
    this.#rows.clear();
    this.#version = undefined;
    this.#generation++;
  }

  /** Takes a table that was read whole. */
  takeTable(page: TablePage): void {
    const newer = [...this.#rows.values()].filter(({ version }) =>
      version > page.version
    );
    this.#rows.clear();
    for (const row of [...page.rows, ...newer]) this.#rows.set(row.key, row);
    this.#version = page.version;
    this.#completeSince = page.version;
    this.#options.takeTable(page);
    this.#options.changed?.();
  }

  /** Takes all that changed after a version that was known. */
  takeChanges(page: TablePage): void {
    let isChanged = false;
    for (const row of page.rows) {
      if (!this.#isNews(row)) continue;
      this.#rows.set(row.key, row);
      isChanged = true;
    }
    this.#version = Math.max(this.#version ?? 0, page.version);
    this.#dropOldRemovals();
    this.#options.takeChanges(page);
    if (isChanged) this.#options.changed?.();
  }

  /** Takes what another daemon passed on. */
  merge(changes: TableChanges): MergeOutcome {
    const known = this.#version ?? Number.NEGATIVE_INFINITY;
    if (changes.isWhole) {
      if (changes.version < known) return "known";
      this.takeTable(changes);
      return "taken";
    }
    if (changes.after > known) return "skips_versions";
    if (changes.version < known) return "known";
    this.takeChanges(changes);
    return "taken";
  }

  /** What somebody lacks who knows the table up to `version`. */
  since(version: number | null): TableChanges | undefined {
    const { table } = this;
    const own = this.#version;
    if (own === undefined) return undefined;
    const isWhole = version === null || version < this.#completeSince;
    const rows = [...this.#rows.values()].filter((row) =>
      isWhole ? !row.isRemoved : row.version > version
    );
    rows.sort((first, second) => first.version - second.version);
    return { table, isWhole, after: version ?? 0, version: own, rows };
  }

  #isNews(row: TableRow): boolean {
    const known = this.#rows.get(row.key);
    if (known === undefined) return true;
    if (row.version < known.version) return false;
    const isSame = !row.isRemoved && !known.isRemoved &&
      this.#options.isSameRow?.(known, row) === true;
    return !isSame;
  }

  #dropOldRemovals(): void {
    const removed = [...this.#rows.values()].filter((row) => row.isRemoved);
    if (removed.length <= MOST_REMOVALS) return;
    removed.sort((first, second) => first.version - second.version);
    const dropped = removed.slice(0, removed.length - MOST_REMOVALS);
    for (const { key, version } of dropped) {
      this.#rows.delete(key);
      this.#completeSince = Math.max(this.#completeSince, version);
    }
  }
}
