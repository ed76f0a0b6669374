import type { Settings } from "./settings_schema.ts";
import { KelpsparError } from "kelpspar-shared";
import { settingsSchema } from "./settings_schema.ts";

/**
 * Checks the text of a settings file. Throws `settings_unreadable` for text
 * that is not JSON and `settings_invalid` with every error and its path.
 */
export function parseSettings(text: string): Settings {
  const result = settingsSchema.safeParse(parseJson(text));
  if (result.success) return result.data;
  const problems = result.error.issues.map((issue) =>
    `${issue.path.join(".") || "(root)"}: ${issue.message}`
  );
  throw new KelpsparError(
    "settings_invalid",
    `Cannot use the settings: ${problems.join("; ")}`,
  );
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch (cause) {
    throw new KelpsparError(
      "settings_unreadable",
      "Cannot read the settings: the file is not JSON",
      { cause },
    );
  }
}
