import type { StepDefinition, StepTable } from "./step_definition.ts";

/** What is added to a step that may be planned for later. */
export const DELAY_SUFFIX = " after {after:duration}";

/**
 * Lets each step of a table be planned: with `after 700 ms` behind it, it
 * happens so much later than the step was read.
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
