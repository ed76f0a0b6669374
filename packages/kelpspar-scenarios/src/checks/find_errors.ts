import type { World } from "../world/world.ts";

/** Finds the errors that daemons logged. */
export function findErrors(world: World): readonly string[] {
  return world.incarnations.flatMap(({ daemonId, log }) =>
    log.errors.map((line) => `${daemonId}: ${line}`)
  );
}
