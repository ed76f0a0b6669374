import type { CallerConnection, ConnectionUse } from "./caller_connection.ts";
import { useOf } from "./caller_connection.ts";

/** Uses in the order in which they give way; others never do. */
const DISPLACED_USES: readonly ConnectionUse[] = ["silent", "kept", "sending"];

/**
 * Chooses the connection to close for a new one: of the use that gives way
 * first, one of the remote address with most connections, and of these the one
 * that has been idle longest, which comes first in `connections`.
 */
export function chooseDisplaced(
  connections: Iterable<CallerConnection>,
  countOf: (remoteAddress: string) => number,
): CallerConnection | undefined {
  let chosen: CallerConnection | undefined;
  let chosenUse = DISPLACED_USES.length;
  let chosenCount = 0;
  for (const connection of connections) {
    const use = DISPLACED_USES.indexOf(useOf(connection));
    if (use < 0 || use > chosenUse) continue;
    const count = countOf(connection.remoteAddress);
    if (use === chosenUse && count <= chosenCount) continue;
    chosen = connection;
    chosenUse = use;
    chosenCount = count;
  }
  return chosen;
}
