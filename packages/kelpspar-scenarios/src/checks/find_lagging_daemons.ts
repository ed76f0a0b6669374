import type { World } from "../world/world.ts";

/**
 * Daemons that run and reach others, and whose revision is lower than one that
 * has been in force at another daemon for so many milliseconds.
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
      `${daemonId} serves revision ${revision}, and ${activeRevision} is in force elsewhere`
    );
}

/** True while nothing passes between the daemon and any other. */
function isIsolated(world: World, daemonId: string): boolean {
  return world.daemons
    .filter((other) => other.daemonId !== daemonId)
    .every((other) => !world.network.link(daemonId, other.daemonId).canConnect);
}
