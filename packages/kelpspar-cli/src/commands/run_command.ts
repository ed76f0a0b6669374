import type { CliContext } from "../cli_context.ts";
import type { CommandResult } from "./command_result.ts";
import {
  RESULT_CODES,
  toFailureRecord,
  toKelpsparError,
} from "kelpspar-shared";

/**
 * Runs a command, prints its result or error, and returns the exit code that
 * belongs to its result code.
 */
export async function runCommand(
  options: { readonly context: CliContext; readonly json: boolean },
  run: () => Promise<CommandResult>,
): Promise<number> {
  const { output } = options.context;
  const { result = "ok", data, text } = await run().catch(toResult);
  if (options.json) output.print(JSON.stringify(data, null, 2));
  else if (result === "ok") output.print(text);
  else output.printError(text);
  return RESULT_CODES[result].exitCode;
}

function toResult(thrown: unknown): CommandResult {
  const error = toKelpsparError(thrown);
  return {
    result: error.result,
    data: toFailureRecord(error),
    text: `${error.message} (${error.result}, code ${error.code})`,
  };
}
