import type { ConfigurationProblem } from "kelpspar-configuration";
import type { CommandResult } from "../commands/command_result.ts";

/** Creates the result of a command whose configuration is invalid. */
export function describeProblems(
  errors: readonly ConfigurationProblem[],
): CommandResult {
  const lines = errors.map(({ path, message }) =>
    `  ${path === "" ? "(whole)" : path}: ${message}`
  );
  const count = `${errors.length} ${errors.length === 1 ? "error" : "errors"}`;
  return {
    result: "configuration_invalid",
    data: { result: "configuration_invalid", errors },
    text: [`The configuration is not valid, ${count}:`, ...lines].join("\n"),
  };
}
