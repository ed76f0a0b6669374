import type { TableKey, TableRow, TableService } from "kelpspar-backends";
import type { ConfigurationRow } from "./configuration_row.ts";
import { KelpsparError } from "kelpspar-shared";
import { configurationRowSchema } from "./configuration_row.ts";

const TABLE = "configuration";
const CURRENT_KEY = "current";
const REVISION_PREFIX = "revision/";
const REVISION_DIGITS = 8;

/** The newest configuration and its row version, 0 if there is none. */
export interface StoredConfiguration {
  readonly row: ConfigurationRow | undefined;
  readonly version: number;
}

/** The accepted configurations in the platform's table service. */
export class ConfigurationStore {
  readonly #table: TableService;

  constructor(options: { readonly table: TableService }) {
    this.#table = options.table;
  }

  /**
   * The key of the row to poll for changes: the next revision, which is absent
   * until it is accepted. Polling the newest revision's own row would make every
   * daemon read the whole configuration every few seconds.
   */
  pollKey(revision: number): TableKey {
    const key = revision === 0 ? CURRENT_KEY : revisionKey(revision + 1);
    return { table: TABLE, key };
  }

  /** Parses a row. Throws `table_unavailable` for an invalid one. */
  parse(row: TableRow | null): StoredConfiguration {
    return toStored(row);
  }

  /** Reads the newest revision. Throws `table_unavailable`. */
  async read(): Promise<StoredConfiguration> {
    const [row] = await this.#table.read([
      { table: TABLE, key: CURRENT_KEY },
    ]);
    return toStored(row ?? null);
  }

  /** Reads one accepted revision; undefined when there is none. */
  async readRevision(revision: number): Promise<ConfigurationRow | undefined> {
    const key = revisionKey(revision);
    const [row] = await this.#table.read([{ table: TABLE, key }]);
    return toStored(row ?? null).row;
  }

  /** Up to `limit` of the latest revisions, newest first. */
  async history(limit: number): Promise<readonly ConfigurationRow[]> {
    const { row } = await this.read();
    if (row === undefined) return [];
    const first = Math.max(1, row.revision - limit + 1);
    const keys = Array.from(
      { length: row.revision - first + 1 },
      (_, index) => ({ table: TABLE, key: revisionKey(row.revision - index) }),
    );
    const rows = await this.#table.read(keys);
    return rows.flatMap((found) => toStored(found).row ?? []);
  }
}

function revisionKey(revision: number): string {
  return REVISION_PREFIX + String(revision).padStart(REVISION_DIGITS, "0");
}

function toStored(row: TableRow | null): StoredConfiguration {
  if (row === null) return { row: undefined, version: 0 };
  const parsed = configurationRowSchema.safeParse(row.value);
  if (parsed.success) return { row: parsed.data, version: row.version };
  throw new KelpsparError(
    "table_unavailable",
    `Cannot read row "${row.table}/${row.key}": it is no configuration`,
  );
}
