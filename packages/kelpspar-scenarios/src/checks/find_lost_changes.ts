import type { World } from "../world/world.ts";

const CONFIGURATION_TABLE = "configuration";
const REVISION_DIGITS = 8;

/**
 * Accepted changes that the table does not hold under the revision that their
 * operator was told, or that two operators were told of one revision.
 */
export async function findLostChanges(
  world: World,
): Promise<readonly string[]> {
  const accepted = world.operators.changes.flatMap(({ changeId, revision }) =>
    revision === undefined ? [] : [{ changeId, revision }]
  );
  world.table.setFaults({ outage: "none", latencyMilliseconds: 0 });
  const rows = await world.table.read(accepted.map(({ revision }) => ({
    table: CONFIGURATION_TABLE,
    key: `revision/${String(revision).padStart(REVISION_DIGITS, "0")}`,
  })));
  return accepted.flatMap(({ changeId, revision }, index) => {
    const stored = rows[index]?.value as
      | { readonly changeId?: string }
      | undefined;
    if (stored?.changeId === changeId) return [];
    return [`${changeId} is not what was stored as revision ${revision}`];
  });
}
