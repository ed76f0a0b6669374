import type { core } from "zod";
import type { ConfigurationProblem } from "./configuration_problem.ts";
import { formatPath } from "./format_path.ts";

/** Converts the schema's issues to problems, with one for each unknown key. */
export function toProblems(
  issues: readonly core.$ZodIssue[],
): ConfigurationProblem[] {
  return issues.flatMap((issue) => {
    if (issue.code !== "unrecognized_keys") {
      return [{ path: formatPath(issue.path), message: issue.message }];
    }
    return issue.keys.map((key) => ({
      path: formatPath([...issue.path, key]),
      message: "Unrecognized key",
    }));
  });
}
