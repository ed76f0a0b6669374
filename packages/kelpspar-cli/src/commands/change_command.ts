import type { CliContext } from "../cli_context.ts";
import type { CliCommand } from "./cli_command.ts";
import { command, positional, string, subcommands } from "cmd-ts";
import { KelpsparError } from "kelpspar-shared";
import { jsonFlag } from "../arguments/json_flag.ts";
import { operatorArguments } from "../arguments/operator_arguments.ts";
import { findChange } from "../configuration/submit_configuration.ts";
import { createOperatorClient } from "../operator/create_operator_client.ts";
import { runCommand } from "./run_command.ts";

/** `kelpspar change show ID`. */
export function createChangeCommand(context: CliContext): CliCommand {
  return subcommands({
    name: "change",
    description: "Inspect a configuration change",
    cmds: { show: createShowCommand(context) },
  });
}

function createShowCommand(context: CliContext): CliCommand {
  return command({
    name: "show",
    description: "Query the daemons for whether a change was accepted",
    args: {
      id: positional({ displayName: "ID", type: string }),
      ...operatorArguments,
      json: jsonFlag,
    },
    handler: (values) =>
      runCommand({ context, json: values.json }, async () => {
        const client = await createOperatorClient(context, values);
        const revision = await findChange(values.id, client);
        if (revision === undefined) {
          throw new KelpsparError(
            "apply_unconfirmed",
            `Cannot confirm change "${values.id}": no daemon reported that it was accepted`,
          );
        }
        return {
          data: { state: "accepted", revision },
          text: `Change "${values.id}" is revision ${revision}`,
        };
      }),
  });
}
