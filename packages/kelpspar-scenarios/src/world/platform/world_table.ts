import type {
  TableKey,
  TableRow,
  TableScan,
  TableService,
  TableTransaction,
  TransactionResult,
} from "kelpspar-backends";
import type { ExchangeOptions } from "../network/exchange.ts";
import type { ResultName } from "kelpspar-shared";
import { KelpsparError } from "kelpspar-shared";
import { exchange } from "../network/exchange.ts";

/** Parameters of a `WorldTable`. */
export type WorldTableOptions =
  & Pick<
    ExchangeOptions<unknown>,
    "network" | "process" | "from" | "timeoutMilliseconds"
  >
  & { readonly table: TableService };

/** Accesses the table service over the simulated network. */
export class WorldTable implements TableService {
  readonly #options: WorldTableOptions;

  constructor(options: WorldTableOptions) {
    this.#options = options;
  }

  commit(transaction: TableTransaction): Promise<TransactionResult> {
    return this.#exchange(
      (table) => table.commit(transaction),
      "write_unknown",
    );
  }

  read(keys: readonly TableKey[]): Promise<readonly (TableRow | null)[]> {
    return this.#exchange((table) => table.read(keys), "table_unavailable");
  }

  scan(scan: TableScan): Promise<readonly TableRow[]> {
    return this.#exchange((table) => table.scan(scan), "table_unavailable");
  }

  #exchange<Answer>(
    handleRequest: (table: TableService) => Promise<Answer>,
    noAnswerResult: ResultName,
  ): Promise<Answer> {
    const { table, ...connection } = this.#options;
    return exchange({
      ...connection,
      to: "table",
      handleRequest: async () => structuredClone(await handleRequest(table)),
      createNoAnswerError: () =>
        new KelpsparError(noAnswerResult, "The table did not answer in time"),
    });
  }
}
