import type { World } from "../world/world.ts";

/** Finds failures that came more than `milliseconds` after the attempt. */
export function findLateRefusals(
  world: World,
  milliseconds: number,
): readonly string[] {
  return world.callers.submissions.flatMap(({ token, attempts }) =>
    attempts.flatMap(({ ending, endedAt, sentAt }) => {
      if (ending?.type !== "answered" && ending?.type !== "refused") return [];
      const { record } = ending;
      if (record.type === "end" || endedAt === undefined) return [];
      const elapsed = Math.round(endedAt - sentAt);
      if (elapsed <= milliseconds) return [];
      return [`${token} got "${record.result}" after ${elapsed} ms`];
    })
  );
}
