import type { World } from "../world/world.ts";

/**
 * Finds calls that arrived more than `milliseconds` after the endpoint started
 * to leave.
 */
export function findLateCalls(
  world: World,
  milliseconds: number,
): readonly string[] {
  return world.endpoints.flatMap(({ id, leavingSince, arrivalTimes }) => {
    if (leavingSince === undefined) return [];
    const late = arrivalTimes.filter((at) => at > leavingSince + milliseconds);
    const first = late[0];
    if (first === undefined) return [];
    return [
      `${id} received ${late.length} calls, the first ${
        Math.round(first - leavingSince)
      } ms after it started to leave`,
    ];
  });
}
