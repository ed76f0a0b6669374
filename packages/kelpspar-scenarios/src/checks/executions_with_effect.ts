import type { Submission } from "../world/callers/submission.ts";
import type { Execution } from "../world/endpoint/execution.ts";
import type { World } from "../world/world.ts";

/**
 * The executions that count as a run of the request: those of its stages with
 * side effects or, if it has no such stage, those of any stage.
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
