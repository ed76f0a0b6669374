import type { CliContext } from "../cli_context.ts";
import type { CliCommand } from "./cli_command.ts";
import { command } from "cmd-ts";
import { fileArguments } from "../arguments/file_arguments.ts";
import { jsonFlag } from "../arguments/json_flag.ts";
import { describeProblems } from "../configuration/describe_problems.ts";
import { loadConfiguration } from "../configuration/load_configuration.ts";
import { runCommand } from "./run_command.ts";

/** `kelpspar validate BASE [OVERLAY]`. */
export function createValidateCommand(context: CliContext): CliCommand {
  return command({
    name: "validate",
    description: "Check a configuration and report every error",
    args: { ...fileArguments, json: jsonFlag },
    handler: (values) =>
      runCommand({ context, json: values.json }, async () => {
        const parsed = await loadConfiguration(context, values);
        if (!parsed.ok) return describeProblems(parsed.errors);
        const { site, accounts, pipelines, services } = parsed.configuration;
        return {
          data: { result: "ok", configuration: parsed.configuration },
          text:
            `Valid: site "${site}" with ${accounts.length} accounts, ${services.length} services and ${pipelines.length} pipelines`,
        };
      }),
  });
}
