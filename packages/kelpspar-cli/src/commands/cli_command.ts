import type { subcommands } from "cmd-ts";
import type { CliContext } from "../cli_context.ts";

/** A command of the command line, in the form that cmd-ts expects. */
export type CliCommand = Parameters<typeof subcommands>[0]["cmds"][string];

/** Creates a command that uses the given context. */
export type CreateCommand = (context: CliContext) => CliCommand;
