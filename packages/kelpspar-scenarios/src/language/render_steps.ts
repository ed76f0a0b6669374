import type { StepTable } from "./step_definition.ts";
import { PLANNED_SUFFIX } from "./delayed_steps.ts";

/** The lists of steps for docs/SCENARIOS.md, in Markdown. */
export function renderSteps(
  groups: Readonly<Record<string, StepTable>>,
): string {
  return Object.entries(groups).map(([name, table]) =>
    `### ${name}\n\n${renderTable(table)}\n`
  ).join("\n");
}

function renderTable(table: StepTable): string {
  return Object.entries(table)
    .filter(([pattern]) => !pattern.endsWith(PLANNED_SUFFIX))
    .map(([pattern, { meaning }]) => {
      const mark = pattern + PLANNED_SUFFIX in table ? " †" : "";
      return `- \`${readable(pattern)}\`${mark}<br>${meaning}.`;
    })
    .join("\n");
}

/** `{time:duration}` becomes `{time}`. */
function readable(pattern: string): string {
  return pattern.replace(/\{(\w+):\w+\}/g, "{$1}");
}
