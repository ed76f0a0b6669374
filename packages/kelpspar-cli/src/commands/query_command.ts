import type { CliContext } from "../cli_context.ts";
import type { OperatorClient } from "../operator/operator_client.ts";
import type { CliCommand, CreateCommand } from "./cli_command.ts";
import { command } from "cmd-ts";
import { jsonFlag } from "../arguments/json_flag.ts";
import { operatorArguments } from "../arguments/operator_arguments.ts";
import { createOperatorClient } from "../operator/create_operator_client.ts";
import { runCommand } from "./run_command.ts";

/** Defines a command that queries the daemons and prints the answer. */
export interface QueryDefinition {
  readonly name: string;
  readonly description: string;
  readonly path: string;
  /** Formats the answer for output without `--json`. Throws KelpsparError. */
  readonly format: (answer: unknown) => string;
}

/** Creates a command from its definition. */
export function createQueryCommand(
  definition: QueryDefinition,
): CreateCommand {
  const { name, description, path, format } = definition;
  return (context: CliContext): CliCommand =>
    command({
      name,
      description,
      args: { ...operatorArguments, json: jsonFlag },
      handler: (values) =>
        runCommand({ context, json: values.json }, async () => {
          const client = await createOperatorClient(context, values);
          const data = await query(client, path);
          return { data, text: format(data) };
        }),
    });
}

function query(client: OperatorClient, path: string): Promise<unknown> {
  return client.request({ method: "GET", path });
}
