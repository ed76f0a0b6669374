import type { World } from "../world/world.ts";

/** Finds daemons that returned to a lower revision. */
export function findReverts(world: World): readonly string[] {
  return world.incarnations.flatMap(({ daemonId, revisions }) =>
    revisions.flatMap(({ revision }, index) => {
      const before = revisions[index - 1]?.revision ?? 0;
      if (revision > before) return [];
      return [`${daemonId} went from revision ${before} to ${revision}`];
    })
  );
}
