import type { CliContext } from "./cli_context.ts";
import { runSafely, subcommands } from "cmd-ts";
import { RESULT_CODES } from "kelpspar-shared";
import { COMMANDS } from "./commands/command_table.ts";

/** Runs a command line; returns the exit code. */
export async function runCli(
  commandLine: readonly string[],
  context: CliContext,
): Promise<number> {
  const program = subcommands({
    name: "kelpspar",
    description: "Operate kelpspar",
    cmds: Object.fromEntries(
      Object.entries(COMMANDS).map(([name, create]) => [name, create(context)]),
    ),
  });
  const outcome = await runSafely(program, [...commandLine]);
  if (outcome._tag === "ok") return await findExitCode(outcome.value);
  const { exitCode, message } = outcome.error.config;
  if (exitCode === 0) {
    context.output.print(message);
    return 0;
  }
  context.output.printError(message);
  return RESULT_CODES.usage.exitCode;
}

/** Extracts the handler's exit code, which subcommands wrap in an object. */
async function findExitCode(value: unknown): Promise<number> {
  const inner = await value;
  if (typeof inner === "number") return inner;
  if (typeof inner === "object" && inner !== null && "value" in inner) {
    return await findExitCode(inner.value);
  }
  return RESULT_CODES.internal_error.exitCode;
}
