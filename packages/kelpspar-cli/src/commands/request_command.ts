import type { CliContext } from "../cli_context.ts";
import type { CliCommand } from "./cli_command.ts";
import { command, positional, string, subcommands } from "cmd-ts";
import { jsonFlag } from "../arguments/json_flag.ts";
import { operatorArguments } from "../arguments/operator_arguments.ts";
import { requestSchema } from "../operator/answers.ts";
import { createOperatorClient } from "../operator/create_operator_client.ts";
import { readAnswer } from "../operator/read_answer.ts";
import { formatTable } from "../output/format_table.ts";
import { runCommand } from "./run_command.ts";

const COLUMNS = [
  "stageId",
  "endpointId",
  "attempts",
  "milliseconds",
  "outcome",
];

/** `kelpspar request show ID`. */
export function createRequestCommand(context: CliContext): CliCommand {
  return subcommands({
    name: "request",
    description: "Inspect a request",
    cmds: { show: createShowCommand(context) },
  });
}

function createShowCommand(context: CliContext): CliCommand {
  return command({
    name: "show",
    description: "Show the stages of a request that a daemon ran recently",
    args: {
      id: positional({ displayName: "ID", type: string }),
      ...operatorArguments,
      json: jsonFlag,
    },
    handler: (values) =>
      runCommand({ context, json: values.json }, async () => {
        const client = await createOperatorClient(context, values);
        const path = `/v1/operator/requests/${encodeURIComponent(values.id)}`;
        const data = await client.requestUntilFound({ method: "GET", path });
        return { data, text: describeRequest(data) };
      }),
  });
}

function describeRequest(answer: unknown): string {
  const request = readAnswer(requestSchema, answer);
  const { requestId, account, pipeline, state, stages } = request;
  const heading =
    `Request "${requestId}" of "${account}" in "${pipeline}": ${state}`;
  return `${heading}\n${formatTable(stages, COLUMNS)}`;
}
