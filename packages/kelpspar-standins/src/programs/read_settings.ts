import { readFileSync } from "node:fs";
import { parseArgs } from "node:util";

/**
 * Reads a program's settings from `--settings <file>` or from
 * `--settings-json <text>`. Throws if neither is given or the text is not JSON.
 */
export function readSettings(): unknown {
  const { values } = parseArgs({
    options: {
      settings: { type: "string" },
      "settings-json": { type: "string" },
    },
  });
  const text = values.settings === undefined
    ? values["settings-json"]
    : readFileSync(values.settings, "utf8");
  if (text === undefined) {
    throw new Error("No settings given: pass --settings or --settings-json");
  }
  return JSON.parse(text);
}

/** Prints the listening address, which the parent process waits for. */
export function printListening(
  listening: Readonly<Record<string, unknown>>,
): void {
  printLine({ listening });
}

/** Writes an object to stdout as one line of JSON. */
export function printLine(line: Readonly<Record<string, unknown>>): void {
  process.stdout.write(`${JSON.stringify(line)}\n`);
}

/** Writes a human-readable line to stdout. */
export function printText(text: string): void {
  process.stdout.write(`${text}\n`);
}
