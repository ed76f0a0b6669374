import type { Configuration } from "kelpspar-configuration";
import { readFileSync } from "node:fs";
import { mergeOverlay, parseConfiguration } from "kelpspar-configuration";

const EXAMPLES = new URL("../../../../examples/", import.meta.url);

/** An example's configuration, before and after validation. */
export interface ExampleConfiguration {
  readonly written: unknown;
  readonly checked: Configuration;
}

/**
 * Reads base.json of examples/, merged with an overlay. Throws if the result is
 * invalid.
 */
export function readExample(overlay: string): ExampleConfiguration {
  const written = mergeOverlay(readJson("base.json"), readJson(overlay));
  const parsed = parseConfiguration(written);
  if (parsed.ok) return { written, checked: parsed.configuration };
  throw new Error(
    `Example configuration "${overlay}" is invalid: ${JSON.stringify(parsed)}`,
  );
}

function readJson(name: string): unknown {
  return JSON.parse(readFileSync(new URL(name, EXAMPLES), "utf8"));
}
