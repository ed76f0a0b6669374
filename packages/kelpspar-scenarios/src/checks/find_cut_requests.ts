import type { World } from "../world/world.ts";

/** Finds in-flight requests that a planned stop cut off, and unfinished stops. */
export function findCutRequests(world: World): readonly string[] {
  const stopped = world.incarnations.filter((daemon) =>
    daemon.stopBeganAt !== undefined
  );
  const unended = stopped.filter(({ stopEndedAt }) => stopEndedAt === undefined)
    .map(({ daemonId }) => `The stop of ${daemonId} has not ended`);
  const cut = world.callers.submissions.flatMap(({ token, attempts }) =>
    attempts
      .filter(({ daemon, context, ending }) =>
        daemon.stopBeganAt !== undefined && context !== undefined &&
        ending?.type === "broken"
      )
      .map(({ daemon }) => `${token} was cut off at ${daemon.daemonId}`)
  );
  return [...unended, ...cut];
}
