import type { StepTable } from "./step_definition.ts";
import { DELAY_SUFFIX } from "./delayed_steps.ts";

/** Renders the lists of steps of docs/SCENARIOS.md in Markdown. */
export function renderSteps(
  groups: Readonly<Record<string, StepTable>>,
): string {
  return Object.entries(groups).map(([name, table]) =>
    `### ${name}\n\n${renderTable(table)}\n`
  ).join("\n");
}

function renderTable(table: StepTable): string {
  return Object.entries(table)
    .filter(([pattern]) => !pattern.endsWith(DELAY_SUFFIX))
    .map(([pattern, { meaning }]) => {
      const mark = pattern + DELAY_SUFFIX in table ? " †" : "";
      return `- \`${toReadablePattern(pattern)}\`${mark}<br>${meaning}.`;
    })
    .join("\n");
}

/** Removes the types of placeholders: `{time:duration}` becomes `{time}`. */
function toReadablePattern(pattern: string): string {
  return pattern.replace(/\{(\w+):\w+\}/g, "{$1}");
}
