import type { subcommands } from "cmd-ts";
import type { CliContext } from "../cli_context.ts";

/** A command of the tool, as cmd-ts wants it. */
export type CliCommand = Parameters<typeof subcommands>[0]["cmds"][string];

/** Makes a command for a process. */
export type CreateCommand = (context: CliContext) => CliCommand;
