import type { World } from "../world/world.ts";
import { executionsWithEffect } from "./executions_with_effect.ts";

/** Finds non-idempotent requests that ran more than once. */
export function findRepeatedRuns(world: World): readonly string[] {
  const { submissions } = world.callers;
  return submissions
    .filter(({ kind }) => kind.nonIdempotent)
    .flatMap((submission) => {
      const executions = executionsWithEffect(world, submission);
      if (executions.length <= 1) return [];
      const places = executions.map(({ endpointId, startedAt }) =>
        `${endpointId} at ${Math.round(startedAt)} ms`
      );
      return [`${submission.token} ran at ${places.join(" and ")}`];
    });
}
