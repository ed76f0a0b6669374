import type { Mechanism } from "./mechanism.ts";
import { KelpsparError, RESULT_CODES } from "kelpspar-shared";
import { spawnSync } from "node:child_process";
import { fileURLToPath } from "node:url";
import { SourceCopy } from "../guards/source_copy.ts";
import { MECHANISMS } from "./mechanisms.ts";

const ROOT = fileURLToPath(new URL("../../../../", import.meta.url));
const LOADS = "packages/kelpspar-gateway/src/__tests__/support/play_loads.ts";
const NAME_WIDTH = 34;
const COLUMN_WIDTH = 9;

interface LoadResult {
  readonly site: string;
  readonly situation: string;
  readonly worth: number;
  readonly interval: number;
}

/**
 * Switches each mechanism off alone, plays the replayed loads without it and
 * prints what it is worth: the worth with all, and the loss without each.
 */
function main(names: readonly string[]): void {
  const chosen = choose(names);
  const copy = new SourceCopy(ROOT);
  const all = play(copy);
  print("load", all.map(({ site }) => site));
  print("", all.map((_, index) => `(${index + 1})`));
  print("worth with all", all.map(({ worth }) => worth.toFixed(3)));
  print("95% interval, +-", all.map(({ interval }) => interval.toFixed(3)));
  for (const mechanism of chosen) {
    const rest = copy.runWithout(mechanism, () => play(copy));
    const losses = rest.map(({ worth }, index) =>
      (worth - (all[index]?.worth ?? 0)).toFixed(3)
    );
    print(`without ${mechanism.name}`, losses);
  }
  for (const [index, { site, situation }] of all.entries()) {
    process.stdout.write(`(${index + 1}) ${site}: ${situation}\n`);
  }
  copy.remove();
}

function choose(names: readonly string[]): readonly Mechanism[] {
  const known = new Set(MECHANISMS.map(({ name }) => name));
  for (const name of names) {
    if (known.has(name)) continue;
    throw new KelpsparError(
      "usage",
      `No mechanism "${name}"; known are ${[...known].join(", ")}`,
    );
  }
  return names.length === 0
    ? MECHANISMS
    : MECHANISMS.filter(({ name }) => names.includes(name));
}

function play(copy: SourceCopy): readonly LoadResult[] {
  const { status, stdout, stderr } = spawnSync(
    process.execPath,
    ["--conditions=source", "--import", "tsx", LOADS],
    { cwd: copy.folder, encoding: "utf8" },
  );
  if (status !== 0) throw new Error(`The loads could not be played: ${stderr}`);
  return JSON.parse(stdout) as readonly LoadResult[];
}

function print(name: string, cells: readonly string[]): void {
  const row = cells.map((cell) => cell.padStart(COLUMN_WIDTH)).join("");
  process.stdout.write(`${name.padEnd(NAME_WIDTH + 8)}${row}\n`);
}

try {
  main(process.argv.slice(2));
} catch (error) {
  if (!(error instanceof KelpsparError)) throw error;
  const { number, exitCode } = RESULT_CODES[error.result];
  process.stderr.write(`${number} ${error.message}\n`);
  process.exitCode = exitCode;
}
