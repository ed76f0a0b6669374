import type { Mutant } from "../mutants/mutant.ts";

/** The table of mutants for docs/SCENARIOS.md, in Markdown. */
export function renderMutants(mutants: readonly Mutant[]): string {
  const rows = mutants.map(({ name, removes, noticedBy }) =>
    `| \`${name}\` | ${removes} | ${noticedBy} |`
  );
  return [
    "| Mutant | What it takes away | Noticed by |",
    "| --- | --- | --- |",
    ...rows,
  ].join("\n");
}
