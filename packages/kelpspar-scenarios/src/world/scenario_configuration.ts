import type { Configuration } from "kelpspar-configuration";
import { parseConfiguration } from "kelpspar-configuration";
import { readFileSync } from "node:fs";

/** Reads the initial configuration of every scenario. */
export function readScenarioConfiguration(): Configuration {
  const file = new URL("./configuration.json", import.meta.url);
  const parsed = parseConfiguration(JSON.parse(readFileSync(file, "utf8")));
  if (parsed.ok) return parsed.configuration;
  throw new Error(
    `Failed to parse the scenarios' configuration: ${
      JSON.stringify(parsed.errors)
    }`,
  );
}
