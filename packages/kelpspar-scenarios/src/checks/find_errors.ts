import type { World } from "../world/world.ts";

/** What daemons logged as errors. */
export function findErrors(world: World): readonly string[] {
  return world.incarnations.flatMap(({ daemonId, log }) =>
    log.errors.map((line) => `${daemonId}: ${line}`)
  );
}
