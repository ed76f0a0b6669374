import type { Mutant } from "../mutants/mutant.ts";

/** Renders the table of mutants of docs/SCENARIOS.md in Markdown. */
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
