import type { DirectoryEntry } from "./directory_entry.ts";
import type { RandomSource } from "kelpspar-shared";

/** Samples up to `count` of `entries` uniformly, without replacement. */
export function sampleEntries(
  entries: readonly DirectoryEntry[],
  options: { readonly count: number; readonly random: RandomSource },
): readonly DirectoryEntry[] {
  const rest = [...entries];
  const sample: DirectoryEntry[] = [];
  while (rest.length > 0 && sample.length < options.count) {
    const [entry] = rest.splice(
      options.random.nextInteger(rest.length),
      1,
    );
    if (entry !== undefined) sample.push(entry);
  }
  return sample;
}
