import type { World } from "../world/world.ts";

/** Calls that were sent when their request had no time left. */
export function findOverdueCalls(world: World): readonly string[] {
  return world.executions.all
    .filter(({ call }) => call.remainingMilliseconds <= 0)
    .map(({ token, call, endpointId, startedAt }) =>
      `${token} began stage "${call.stageId}" at ${endpointId} at ${
        Math.round(startedAt)
      } ms, past its deadline`
    );
}
