import { writeFile } from "node:fs/promises";
import { KelpsparError } from "kelpspar-shared";

/** Creates or overwrites a file. Throws KelpsparError, `usage`. */
export async function writeText(path: string, text: string): Promise<void> {
  try {
    await writeFile(path, text, "utf8");
  } catch (cause) {
    const reason = cause instanceof Error ? cause.message : String(cause);
    throw new KelpsparError("usage", `Cannot write "${path}": ${reason}`);
  }
}
