import type { DirectoryEntry } from "./directory_entry.ts";
import type { RandomSource } from "kelpspar-shared";

/** Draws up to `count` of `entries`, each with the same chance. */
export function drawEntries(
  entries: readonly DirectoryEntry[],
  options: { readonly count: number; readonly random: RandomSource },
): readonly DirectoryEntry[] {
  const rest = [...entries];
  const drawn: DirectoryEntry[] = [];
  while (rest.length > 0 && drawn.length < options.count) {
    const [entry] = rest.splice(options.random.nextInteger(rest.length), 1);
    if (entry !== undefined) drawn.push(entry);
  }
  return drawn;
}
