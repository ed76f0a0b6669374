import type { Submission } from "../world/callers/submission.ts";
import type { Execution } from "../world/endpoint/execution.ts";
import type { World } from "../world/world.ts";

/**
 * What endpoints ran of a request that counts as its run: its stages that act
 * on the world, or any stage of a request that has none.
 */
export function executionsWithEffect(
  world: World,
  submission: Submission,
): readonly Execution[] {
  const { effectfulStages } = submission.kind;
  const executions = world.executions.ofToken(submission.token);
  if (effectfulStages.length === 0) return executions;
  return executions.filter(({ call }) =>
    effectfulStages.includes(call.stageId)
  );
}
