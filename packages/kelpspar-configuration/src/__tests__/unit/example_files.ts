import { readFileSync } from "node:fs";
import { mergeOverlay } from "../../mod.ts";

/** Reads a JSON file from the repository's examples folder. */
export function readExample(name: string): unknown {
  const url = new URL(`../../../../../examples/${name}`, import.meta.url);
  return JSON.parse(readFileSync(url, "utf8"));
}

/**
 * Returns a site's example: the base merged with its overlay, not validated.
 */
export function exampleSite(site: string): unknown {
  return mergeOverlay(readExample("base.json"), readExample(`${site}.json`));
}
