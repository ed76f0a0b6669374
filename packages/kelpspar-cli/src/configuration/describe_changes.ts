import type { ConfigurationChange } from "kelpspar-configuration";

const DESCRIPTIONS: Readonly<
  Record<
    ConfigurationChange["kind"],
    (change: ConfigurationChange) => string
  >
> = {
  added: ({ path, after }) => `+ ${path}: ${JSON.stringify(after)}`,
  removed: ({ path, before }) => `- ${path}: ${JSON.stringify(before)}`,
  changed: ({ path, before, after }) =>
    `~ ${path}: ${JSON.stringify(before)} -> ${JSON.stringify(after)}`,
  reordered: ({ path, before, after }) =>
    `~ ${path}, order: ${JSON.stringify(before)} -> ${JSON.stringify(after)}`,
};

/** Formats the changes, one line each. */
export function describeChanges(
  changes: readonly ConfigurationChange[],
): string {
  if (changes.length === 0) return "No changes";
  return changes.map((change) => DESCRIPTIONS[change.kind](change)).join("\n");
}
