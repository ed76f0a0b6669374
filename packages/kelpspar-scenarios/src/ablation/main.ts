import type { Mechanism } from "./mechanism.ts";
import { KelpsparError, RESULT_CODES } from "kelpspar-shared";
import { spawnSync } from "node:child_process";
import { fileURLToPath } from "node:url";
import { SourceCopy } from "../guards/source_copy.ts";
import { MECHANISMS } from "./mechanisms.ts";

const ROOT = fileURLToPath(new URL("../../../../", import.meta.url));
const LOADS_SCRIPT =
  "packages/kelpspar-gateway/src/__tests__/support/play_loads.ts";
const NAME_WIDTH = 34;
const COLUMN_WIDTH = 9;

interface LoadResult {
  readonly site: string;
  readonly situation: string;
  readonly worth: number;
  readonly interval: number;
}

/**
 * Disables each mechanism in turn, replays the loads without it and prints the
 * baseline worth with all mechanisms and the loss without each.
 */
function main(names: readonly string[]): void {
  const chosen = chooseMechanisms(names);
  const copy = new SourceCopy(ROOT);
  const baseline = playLoads(copy);
  printRow("load", baseline.map(({ site }) => site));
  printRow("", baseline.map((_, index) => `(${index + 1})`));
  printRow("worth with all", baseline.map(({ worth }) => worth.toFixed(3)));
  printRow(
    "95% interval, +-",
    baseline.map(({ interval }) => interval.toFixed(3)),
  );
  for (const mechanism of chosen) {
    const rest = copy.runWithout(mechanism, () => playLoads(copy));
    const losses = rest.map(({ worth }, index) =>
      (worth - (baseline[index]?.worth ?? 0)).toFixed(3)
    );
    printRow(`without ${mechanism.name}`, losses);
  }
  for (const [index, { site, situation }] of baseline.entries()) {
    process.stdout.write(`(${index + 1}) ${site}: ${situation}\n`);
  }
  copy.remove();
}

function chooseMechanisms(names: readonly string[]): readonly Mechanism[] {
  const knownNames = new Set(MECHANISMS.map(({ name }) => name));
  for (const name of names) {
    if (knownNames.has(name)) continue;
    throw new KelpsparError(
      "usage",
      `Unknown mechanism "${name}"; expected one of ${
        [...knownNames].join(", ")
      }`,
    );
  }
  return names.length === 0
    ? MECHANISMS
    : MECHANISMS.filter(({ name }) => names.includes(name));
}

function playLoads(copy: SourceCopy): readonly LoadResult[] {
  const { status, stdout, stderr } = spawnSync(
    process.execPath,
    ["--conditions=source", "--import", "tsx", LOADS_SCRIPT],
    { cwd: copy.folder, encoding: "utf8" },
  );
  if (status !== 0) throw new Error(`Failed to replay the loads: ${stderr}`);
  return JSON.parse(stdout) as readonly LoadResult[];
}

function printRow(name: string, cells: readonly string[]): void {
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
