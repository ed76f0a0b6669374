import type {
  TableKey,
  TableScan,
  TableTransaction,
  TransactionResult,
} from "kelpspar-backends";
import type { JsonReply } from "../http/json_reply.ts";
import type { JsonRoute } from "../http/json_route.ts";
import type { ScriptedTable } from "./scripted_table.ts";
import type { TableAnswer, TableRefusal } from "./table_answer.ts";
import type { TableFaults } from "./table_faults.ts";
import { answer, NO_REPLY, RESET } from "../http/json_reply.ts";

const STATUS_OK = 200;
const STATUS_CONFLICT = 409;

const REFUSAL_STATUS: Readonly<Record<TableRefusal, number>> = {
  outage: 503,
  rate: 429,
  invalid: 400,
};

/** The table service's HTTP protocol (docs/PLATFORM.md). */
export function createTableRoutes(table: ScriptedTable): readonly JsonRoute[] {
  return [
    {
      method: "POST",
      path: "/v1/transactions",
      handler: async ({ body }) => {
        const result = await table.commit(body as TableTransaction);
        return toReply(result, transactionStatus);
      },
    },
    {
      method: "POST",
      path: "/v1/reads",
      handler: async ({ body }) => {
        const { keys } = body as { readonly keys: readonly TableKey[] };
        return toRowsReply(await table.read(keys));
      },
    },
    {
      method: "POST",
      path: "/v1/scans",
      handler: async ({ body }) =>
        toRowsReply(await table.scan(body as TableScan)),
    },
    {
      method: "POST",
      path: "/control/faults",
      handler: ({ body }) => {
        table.setFaults(body as Partial<TableFaults>);
        return answer(table.faults);
      },
    },
    {
      method: "GET",
      path: "/control/counters",
      handler: () => answer(table.counters),
    },
  ];
}

function transactionStatus(result: TransactionResult): number {
  return result.committed ? STATUS_OK : STATUS_CONFLICT;
}

function toRowsReply(result: TableAnswer<unknown>): JsonReply {
  if (result.kind !== "answered") return toReply(result, () => STATUS_OK);
  return answer({ rows: result.value });
}

function toReply<Value>(
  result: TableAnswer<Value>,
  status: (value: Value) => number,
): JsonReply {
  if (result.kind === "hang") return NO_REPLY;
  if (result.kind === "reset") return RESET;
  if (result.kind === "answered") {
    return answer(result.value, status(result.value));
  }
  return answer({ error: result.reason }, REFUSAL_STATUS[result.reason]);
}
