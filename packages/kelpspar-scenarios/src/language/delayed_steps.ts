import type { StepDefinition, StepTable } from "./step_definition.ts";

/** The suffix of the variant of a step that runs after a delay. */
export const DELAY_SUFFIX = " after {after:duration}";

/**
 * Adds a delayed variant of each step of a table: with a suffix such as `after
 * 700 ms` it runs that long after the step was read.
 */
export function withDelayedSteps(table: StepTable): StepTable {
  const rows = Object.entries(table).flatMap(([pattern, definition]) => [
    [pattern, definition] as const,
    [pattern + DELAY_SUFFIX, plan(definition)] as const,
  ]);
  return Object.fromEntries(rows);
}

function plan(definition: StepDefinition): StepDefinition {
  return {
    meaning: definition.meaning,
    handler: (world, values) =>
      world.actionQueue.schedule(
        values.milliseconds("after"),
        () => definition.handler(world, values),
      ),
  };
}
