import type { ParsedConfiguration } from "kelpspar-configuration";
import type { CliContext } from "../cli_context.ts";
import { mergeOverlay, parseConfiguration } from "kelpspar-configuration";
import { KelpsparError } from "kelpspar-shared";

/** The paths of a configuration's files. */
export interface ConfigurationFiles {
  readonly base: string;
  readonly overlay: string | undefined;
}

/**
 * Reads a base configuration, merges its overlay into it and validates the
 * result. Throws KelpsparError, `configuration_unreadable`.
 */
export async function loadConfiguration(
  context: CliContext,
  files: ConfigurationFiles,
): Promise<ParsedConfiguration> {
  const base = await readJson(context, files.base);
  if (files.overlay === undefined) return parseConfiguration(base);
  const overlay = await readJson(context, files.overlay);
  return parseConfiguration(mergeOverlay(base, overlay));
}

async function readJson(context: CliContext, path: string): Promise<unknown> {
  try {
    return JSON.parse(await context.readFile(path));
  } catch (cause) {
    const reason = cause instanceof Error ? cause.message : String(cause);
    throw new KelpsparError(
      "configuration_unreadable",
      `Cannot read the configuration file "${path}": ${reason}`,
    );
  }
}
