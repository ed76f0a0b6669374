import type { Scenario } from "./scenario.ts";
import { readdirSync, readFileSync } from "node:fs";
import { dirname, join, relative } from "node:path";
import { fileURLToPath } from "node:url";
import { parseScenarios } from "./parse_scenarios.ts";

const ROOT = fileURLToPath(new URL("../../../..", import.meta.url));
const FEATURE_SUFFIX = ".feature";

/** Loads all scenarios in `scenarios/`, ordered by file. */
export function loadScenarios(): readonly Scenario[] {
  const directory = join(ROOT, "scenarios");
  const files = readdirSync(directory, { recursive: true, encoding: "utf8" })
    .filter((file) => file.endsWith(FEATURE_SUFFIX))
    .sort();
  return files.flatMap((file) => {
    const path = join(directory, file);
    return parseScenarios(readFileSync(path, "utf8"), {
      invariant: dirname(file),
      file: relative(ROOT, path),
    });
  });
}
