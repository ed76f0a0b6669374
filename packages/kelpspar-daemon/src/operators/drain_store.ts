import type { TableKey, TableRow, TableService } from "kelpspar-backends";
import type { DrainKind, Drains, DrainsContent } from "./drains.ts";
import { KelpsparError } from "kelpspar-shared";
import { DRAIN_FIELDS, drainsSchema, NO_DRAINS } from "./drains.ts";

const TABLE = "drains";
const MAXIMUM_ATTEMPTS = 5;

/** The endpoint or daemon to drain. */
export interface DrainTarget {
  readonly kind: DrainKind;
  readonly id: string;
  /** The VM's incarnation. */
  readonly incarnation: string;
}

/** Drains in the table service, set either by operators or by orders. */
export class DrainStore {
  readonly #table: TableService;
  /** The key of the row, for reading it together with others. */
  readonly key: TableKey;

  constructor(options: {
    readonly table: TableService;
    /** The row's key in the table `drains`. */
    readonly key: "all" | "orders";
  }) {
    this.#table = options.table;
    this.key = { table: TABLE, key: options.key };
  }

  /** Parses a row; an invalid row drains nothing. */
  parse(row: TableRow | null): Drains {
    const content = drainsSchema.safeParse(row?.value).data ?? NO_DRAINS;
    return { ...content, version: row?.version ?? 0 };
  }

  /** Adds a drain; returns the updated drains. Throws `store_unavailable`. */
  drain(target: DrainTarget): Promise<Drains> {
    const field = DRAIN_FIELDS[target.kind];
    return this.#update((drains) => ({
      ...drains,
      [field]: { ...drains[field], [target.id]: target.incarnation },
    }));
  }

  /** Removes a drain; does nothing when there is none. */
  undrain(target: Pick<DrainTarget, "kind" | "id">): Promise<Drains> {
    const field = DRAIN_FIELDS[target.kind];
    return this.#update((drains) => {
      const { [target.id]: _removed, ...rest } = drains[field];
      return { ...drains, [field]: rest };
    });
  }

  /**
   * Updates the row by compare-and-set. Updates are idempotent, so one whose
   * answer was lost is retried.
   */
  async #update(
    change: (drains: DrainsContent) => DrainsContent,
  ): Promise<Drains> {
    for (let attempt = 0; attempt < MAXIMUM_ATTEMPTS; attempt++) {
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
        if (!isUnknownWrite(thrown)) throw thrown;
      }
    }
    throw new KelpsparError(
      "store_unavailable",
      `Cannot change the drains: ${MAXIMUM_ATTEMPTS} tries were in vain`,
    );
  }
}

function isUnknownWrite(thrown: unknown): boolean {
  return thrown instanceof KelpsparError && thrown.result === "write_unknown";
}
