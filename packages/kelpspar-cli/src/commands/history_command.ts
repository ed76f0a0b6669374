import type { CliContext } from "../cli_context.ts";
import type { CliCommand } from "./cli_command.ts";
import { command, number, option } from "cmd-ts";
import { jsonFlag } from "../arguments/json_flag.ts";
import { operatorArguments } from "../arguments/operator_arguments.ts";
import { historySchema } from "../operator/answers.ts";
import { createOperatorClient } from "../operator/create_operator_client.ts";
import { readAnswer } from "../operator/read_answer.ts";
import { formatTable } from "../output/format_table.ts";
import { runCommand } from "./run_command.ts";

const DEFAULT_LIMIT = 20;
const COLUMNS = ["revision", "acceptedAt", "operator", "changeId"];

/** `kelpspar history [--limit N]`. */
export function createHistoryCommand(context: CliContext): CliCommand {
  return command({
    name: "history",
    description: "Show the accepted revisions, latest first",
    args: {
      ...operatorArguments,
      limit: option({
        long: "limit",
        type: number,
        defaultValue: () => DEFAULT_LIMIT,
        defaultValueIsSerializable: true,
        description: "How many revisions to show",
      }),
      json: jsonFlag,
    },
    handler: (values) =>
      runCommand({ context, json: values.json }, async () => {
        const client = await createOperatorClient(context, values);
        const path = `/v1/operator/configuration/history?limit=${values.limit}`;
        const data = await client.request({ method: "GET", path });
        const rows = readAnswer(historySchema, data).revisions.map((row) => ({
          ...row,
          acceptedAt: toDate(row["acceptedAt"]),
        }));
        return { data, text: formatTable(rows, COLUMNS) };
      }),
  });
}

/** Formats milliseconds since 1970 as ISO 8601; returns other values as is. */
function toDate(value: unknown): unknown {
  return typeof value === "number" ? new Date(value).toISOString() : value;
}
