import type { WorldDaemon } from "../world/daemon/world_daemon.ts";
import type { World } from "../world/world.ts";

/**
 * Finds accepted changes that were not active everywhere `milliseconds` after
 * their confirmation: at every daemon that ran throughout this time.
 */
export function findSlowChanges(
  world: World,
  milliseconds: number,
): readonly string[] {
  const now = world.timer.now();
  return world.operators.changes.flatMap(({ revision, confirmedAt }) => {
    if (revision === undefined || confirmedAt === undefined) return [];
    const dueAt = Math.min(now, confirmedAt + milliseconds);
    return world.incarnations
      .filter((daemon) => daemon.isRunning && daemon.startedAt <= confirmedAt)
      .filter((daemon) => !isInForce(daemon, { revision, dueAt }))
      .map(({ daemonId }) =>
        `Revision ${revision} was not active at ${daemonId} in time`
      );
  });
}

function isInForce(
  daemon: WorldDaemon,
  wanted: { readonly revision: number; readonly dueAt: number },
): boolean {
  return daemon.revisions.some(({ revision, at }) =>
    revision >= wanted.revision && at <= wanted.dueAt
  );
}
