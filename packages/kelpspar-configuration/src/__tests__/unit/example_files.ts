import { readFileSync } from "node:fs";
import { layOverlay } from "../../mod.ts";

/** Reads a file of the repository's examples. */
export function readExample(name: string): unknown {
  const url = new URL(`../../../../../examples/${name}`, import.meta.url);
  return JSON.parse(readFileSync(url, "utf8"));
}

/** A site's example, its overlay laid on the base, not yet checked. */
export function exampleSite(site: string): unknown {
  return layOverlay(readExample("base.json"), readExample(`${site}.json`));
}
