import type { CliContext } from "../cli_context.ts";
import type { OperatorClient } from "../operator/operator_client.ts";
import type { CliCommand, CreateCommand } from "./cli_command.ts";
import { command } from "cmd-ts";
import { jsonFlag } from "../arguments/json_flag.ts";
import { operatorArguments } from "../arguments/operator_arguments.ts";
import { createOperatorClient } from "../operator/create_operator_client.ts";
import { answerWith } from "./run_command.ts";

/** A command that shows what a daemon reports. */
export interface ReportDefinition {
  readonly name: string;
  readonly description: string;
  readonly path: string;
  /** What is printed without `--json`. Throws KelpsparError. */
  readonly format: (answer: unknown) => string;
}

/** Makes commands that only differ in what they show. */
export function createReportCommand(
  definition: ReportDefinition,
): CreateCommand {
  const { name, description, path, format } = definition;
  return (context: CliContext): CliCommand =>
    command({
      name,
      description,
      args: { ...operatorArguments, json: jsonFlag },
      handler: (values) =>
        answerWith({ context, json: values.json }, async () => {
          const client = await createOperatorClient(context, values);
          const data = await askFor(client, path);
          return { data, text: format(data) };
        }),
    });
}

function askFor(client: OperatorClient, path: string): Promise<unknown> {
  return client.ask({ method: "GET", path });
}
