import { readFileSync } from "node:fs";
import { parseArgs } from "node:util";

/**
 * Reads a program's settings from `--settings <file>` or from
 * `--settings-json <text>`. Throws when there are none or they are not JSON.
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
    throw new Error("Settings are missing: give --settings or --settings-json");
  }
  return JSON.parse(text);
}

/** Tells the parent that the program listens. */
export function printListening(
  listening: Readonly<Record<string, unknown>>,
): void {
  printLine({ listening });
}

/** Prints one line of JSON. */
export function printLine(line: Readonly<Record<string, unknown>>): void {
  process.stdout.write(`${JSON.stringify(line)}\n`);
}

/** Prints a line for people. */
export function printText(text: string): void {
  process.stdout.write(`${text}\n`);
}
