import type { World } from "../world/world.ts";

/**
 * Finds running, connected daemons whose revision is lower than one that has
 * been active at another daemon for at least `milliseconds`.
 */
export function findLaggingDaemons(
  world: World,
  milliseconds: number,
): readonly string[] {
  const now = world.timer.now();
  const activeRevision = Math.max(
    ...world.incarnations.flatMap(({ revisions }) =>
      revisions
        .filter(({ at }) => at <= now - milliseconds)
        .map(({ revision }) => revision)
    ),
    0,
  );
  return world.daemons
    .filter((daemon) => daemon.isRunning && !isIsolated(world, daemon.daemonId))
    .filter((daemon) => daemon.startedAt <= now - milliseconds)
    .filter((daemon) => daemon.revision < activeRevision)
    .map(({ daemonId, revision }) =>
      `${daemonId} serves revision ${revision}, but ${activeRevision} is active elsewhere`
    );
}

/** True while the daemon is cut off from all other daemons. */
function isIsolated(world: World, daemonId: string): boolean {
  return world.daemons
    .filter((other) => other.daemonId !== daemonId)
    .every((other) => !world.network.link(daemonId, other.daemonId).canConnect);
}
