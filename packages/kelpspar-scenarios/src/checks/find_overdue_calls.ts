import type { World } from "../world/world.ts";

/** Finds calls that were sent after the deadline of their request. */
export function findOverdueCalls(world: World): readonly string[] {
  return world.executions.all
    .filter(({ call }) => call.remainingMilliseconds <= 0)
    .map(({ token, call, endpointId, startedAt }) =>
      `${token} started stage "${call.stageId}" at ${endpointId} at ${
        Math.round(startedAt)
      } ms, past its deadline`
    );
}
