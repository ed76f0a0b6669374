import type { CliContext } from "../cli_context.ts";
import type { CliCommand } from "./cli_command.ts";
import { command } from "cmd-ts";
import { configurationJsonSchema } from "kelpspar-configuration";
import { jsonFlag } from "../arguments/json_flag.ts";
import { runCommand } from "./run_command.ts";

/** `kelpspar schema`. */
export function createSchemaCommand(context: CliContext): CliCommand {
  return command({
    name: "schema",
    description: "Print the JSON Schema of a configuration",
    args: { json: jsonFlag },
    handler: (values) =>
      runCommand({ context, json: values.json }, () => {
        const data = configurationJsonSchema();
        return Promise.resolve({ data, text: JSON.stringify(data, null, 2) });
      }),
  });
}
