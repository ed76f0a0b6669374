import type { World } from "../world/world.ts";

const CONFIGURATION_TABLE = "configuration";
const REVISION_DIGITS = 8;

/**
 * Finds accepted changes that the table doesn't hold under the revision that was
 * confirmed to the operator, including two changes confirmed as one revision.
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
    return [`${changeId} is not stored as revision ${revision}`];
  });
}
