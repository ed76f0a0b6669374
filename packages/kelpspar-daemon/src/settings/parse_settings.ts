import type { Settings } from "./settings_schema.ts";
import { KelpsparError } from "kelpspar-shared";
import { settingsSchema } from "./settings_schema.ts";

/**
 * Parses and validates a settings file. Throws `settings_unreadable` for text
 * that is not JSON, and `settings_invalid` with every error and its path.
 */
export function parseSettings(text: string): Settings {
  const result = settingsSchema.safeParse(parseJson(text));
  if (result.success) return result.data;
  const problems = result.error.issues.map((issue) =>
    `${issue.path.join(".") || "(root)"}: ${issue.message}`
  );
  throw new KelpsparError(
    "settings_invalid",
    `Cannot validate the settings: ${problems.join("; ")}`,
  );
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch (cause) {
    throw new KelpsparError(
      "settings_unreadable",
      "Cannot parse the settings file: it is not JSON",
      { cause },
    );
  }
}
