import type { CliContext } from "../cli_context.ts";
import type { CliCommand } from "./cli_command.ts";
import { command } from "cmd-ts";
import { diffConfigurations } from "kelpspar-configuration";
import { fileArguments } from "../arguments/file_arguments.ts";
import { jsonFlag } from "../arguments/json_flag.ts";
import { operatorArguments } from "../arguments/operator_arguments.ts";
import { readCurrentConfiguration } from "../configuration/current_configuration.ts";
import { describeChanges } from "../configuration/describe_changes.ts";
import { describeProblems } from "../configuration/describe_problems.ts";
import { loadConfiguration } from "../configuration/load_configuration.ts";
import { createOperatorClient } from "../operator/create_operator_client.ts";
import { runCommand } from "./run_command.ts";

/** `kelpspar diff BASE [OVERLAY]`. */
export function createDiffCommand(context: CliContext): CliCommand {
  return command({
    name: "diff",
    description: "Show what an apply would change",
    args: { ...fileArguments, ...operatorArguments, json: jsonFlag },
    handler: (values) =>
      runCommand({ context, json: values.json }, async () => {
        const parsed = await loadConfiguration(context, values);
        if (!parsed.ok) return describeProblems(parsed.errors);
        const client = await createOperatorClient(context, values);
        const current = await readCurrentConfiguration(client);
        const changes = diffConfigurations(
          current.configuration,
          parsed.configuration,
        );
        return {
          data: { revision: current.revision, changes },
          text: `Against revision ${current.revision}:\n${
            describeChanges(changes)
          }`,
        };
      }),
  });
}
