import type { TableKey, TableRow, TableService } from "kelpspar-backends";
import type { DrainKind, Drains, DrainsContent } from "./drains.ts";
import { KelpsparError } from "kelpspar-shared";
import { DRAIN_FIELDS, drainsSchema, NO_DRAINS } from "./drains.ts";

const TABLE = "drains";
const MOST_TRIES = 5;

/** What to drain, or to drain no more. */
export interface DrainTarget {
  readonly kind: DrainKind;
  readonly id: string;
  /** The VM's incarnation. */
  readonly incarnation: string;
}

/** Drains in the platform's table service: operators', or those of orders. */
export class DrainStore {
  readonly #table: TableService;
  /** The row's name, to be read along with others. */
  readonly key: TableKey;

  constructor(options: {
    readonly table: TableService;
    /** The row's key in the table `drains`. */
    readonly key: "all" | "orders";
  }) {
    this.#table = options.table;
    this.key = { table: TABLE, key: options.key };
  }

  /** Reads a row; a row that cannot be understood drains nothing. */
  parse(row: TableRow | null): Drains {
    const content = drainsSchema.safeParse(row?.value).data ?? NO_DRAINS;
    return { ...content, version: row?.version ?? 0 };
  }

  /** Drains; returns what is drained then. Throws `store_unavailable`. */
  drain(target: DrainTarget): Promise<Drains> {
    const field = DRAIN_FIELDS[target.kind];
    return this.#change((drains) => ({
      ...drains,
      [field]: { ...drains[field], [target.id]: target.incarnation },
    }));
  }

  /** Takes a drain back; no error when there is none. */
  undrain(target: Pick<DrainTarget, "kind" | "id">): Promise<Drains> {
    const field = DRAIN_FIELDS[target.kind];
    return this.#change((drains) => {
      const { [target.id]: _removed, ...rest } = drains[field];
      return { ...drains, [field]: rest };
    });
  }

  /**
   * Changes the row by compare-and-set. A change is the same when made twice,
   * so that one whose answer was lost is simply made again.
   */
  async #change(
    change: (drains: DrainsContent) => DrainsContent,
  ): Promise<Drains> {
    for (let tries = 0; tries < MOST_TRIES; tries++) {
      const [row = null] = await this.#table.read([this.key]);
      const { version: expectedVersion, ...content } = this.parse(row);
      const value = change(content);
      const write = { ...this.key, value, expectedVersion };
      try {
        const result = await this.#table.commit({ writes: [write] });
        if (result.committed) {
          const [version = expectedVersion + 1] = result.versions;
          return { ...value, version };
        }
      } catch (thrown) {
        if (!isUnknown(thrown)) throw thrown;
      }
    }
    throw new KelpsparError(
      "store_unavailable",
      `Cannot change the drains: ${MOST_TRIES} tries were in vain`,
    );
  }
}

function isUnknown(thrown: unknown): boolean {
  return thrown instanceof KelpsparError && thrown.result === "write_unknown";
}
