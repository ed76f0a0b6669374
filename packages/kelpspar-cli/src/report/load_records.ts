import type { CliContext } from "../cli_context.ts";
import type { SiteRecords } from "./site_records.ts";
import { KelpsparError } from "kelpspar-shared";
import { siteRecordsSchema } from "./site_records.ts";

const MAX_LISTED_PROBLEMS = 10;

/**
 * Reads a file written by `--save`. Throws KelpsparError: `usage` if the file
 * cannot be read, `malformed_request` if its content is not valid.
 */
export async function loadRecords(
  context: CliContext,
  path: string,
): Promise<SiteRecords> {
  const text = await readText(context, path);
  const parsed = siteRecordsSchema.safeParse(parseJson(text, path));
  if (parsed.success) return parsed.data;
  const { issues } = parsed.error;
  const problems = issues.slice(0, MAX_LISTED_PROBLEMS).map((issue) =>
    `${issue.path.map(String).join(".") || "(root)"}: ${issue.message}`
  );
  const omitted = issues.length - problems.length;
  if (omitted > 0) problems.push(`and ${omitted} more`);
  throw new KelpsparError(
    "malformed_request",
    `The records file "${path}" is not valid: ${problems.join("; ")}`,
  );
}

async function readText(context: CliContext, path: string): Promise<string> {
  try {
    return await context.readFile(path);
  } catch (cause) {
    throw new KelpsparError(
      "usage",
      `Cannot read the records file "${path}": ${reasonOf(cause)}`,
    );
  }
}

function parseJson(text: string, path: string): unknown {
  try {
    return JSON.parse(text);
  } catch (cause) {
    throw new KelpsparError(
      "malformed_request",
      `The records file "${path}" is not JSON: ${reasonOf(cause)}`,
    );
  }
}

function reasonOf(cause: unknown): string {
  return cause instanceof Error ? cause.message : String(cause);
}
