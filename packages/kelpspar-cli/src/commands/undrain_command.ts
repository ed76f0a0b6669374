import type { CliContext } from "../cli_context.ts";
import type { CliCommand } from "./cli_command.ts";
import { command } from "cmd-ts";
import { drainArguments } from "../arguments/drain_arguments.ts";
import { jsonFlag } from "../arguments/json_flag.ts";
import { operatorArguments } from "../arguments/operator_arguments.ts";
import { createOperatorClient } from "../operator/create_operator_client.ts";
import { runCommand } from "./run_command.ts";

/** `kelpspar undrain KIND ID`. */
export function createUndrainCommand(context: CliContext): CliCommand {
  return command({
    name: "undrain",
    description: "Cancel a drain",
    args: { ...drainArguments, ...operatorArguments, json: jsonFlag },
    handler: (values) =>
      runCommand({ context, json: values.json }, async () => {
        const client = await createOperatorClient(context, values);
        const { kind, id } = values;
        const path = `/v1/operator/drains/${kind}/${encodeURIComponent(id)}`;
        const data = await client.request({ method: "DELETE", path });
        return { data, text: `The ${kind} "${id}" is no longer draining` };
      }),
  });
}
