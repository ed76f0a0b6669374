import type {
  TableKey,
  TableRow,
  TableScan,
  TableService,
  TableTransaction,
  TransactionResult,
} from "./table_service.ts";
import type { PlatformClientOptions } from "../http/platform_client_options.ts";
import { KelpsparError } from "kelpspar-shared";
import { ExchangeError, JsonHttpClient } from "../http/json_http_client.ts";

const STATUS_OK = 200;
const STATUS_CONFLICT = 409;

/** A table service client for the HTTP protocol in docs/PLATFORM.md. */
export class HttpTableService implements TableService {
  readonly #client: JsonHttpClient;

  constructor(options: PlatformClientOptions) {
    this.#client = new JsonHttpClient(options);
  }

  async commit(transaction: TableTransaction): Promise<TransactionResult> {
    try {
      const answer = await this.#client.exchange({
        method: "POST",
        path: "/v1/transactions",
        body: transaction,
      });
      if (answer.status === STATUS_OK || answer.status === STATUS_CONFLICT) {
        return answer.body as TransactionResult;
      }
      throw refused("commit a transaction", answer.status);
    } catch (error) {
      if (error instanceof ExchangeError && error.mayHaveArrived) {
        throw new KelpsparError("write_unknown", error.message, {
          cause: error,
        });
      }
      throw toTableError(error);
    }
  }

  async read(
    keys: readonly TableKey[],
  ): Promise<readonly (TableRow | null)[]> {
    const body = await this.#query("/v1/reads", { keys });
    return (body as { readonly rows: readonly (TableRow | null)[] }).rows;
  }

  async scan(scan: TableScan): Promise<readonly TableRow[]> {
    const body = await this.#query("/v1/scans", scan);
    return (body as { readonly rows: readonly TableRow[] }).rows;
  }

  /** Closes every connection. */
  close(): Promise<void> {
    return this.#client.close();
  }

  async #query(path: string, body: unknown): Promise<unknown> {
    try {
      const answer = await this.#client.exchange({
        method: "POST",
        path,
        body,
      });
      if (answer.status === STATUS_OK) return answer.body;
      throw refused(`ask "${path}"`, answer.status);
    } catch (error) {
      throw toTableError(error);
    }
  }
}

/** Any status except 200 and 409 means that nothing was written. */
function refused(tried: string, status: number): KelpsparError {
  return new KelpsparError(
    "table_unavailable",
    `Cannot ${tried}: the table service answered status ${status}`,
  );
}

function toTableError(error: unknown): unknown {
  if (!(error instanceof ExchangeError)) return error;
  return new KelpsparError("table_unavailable", error.message, {
    cause: error,
  });
}
