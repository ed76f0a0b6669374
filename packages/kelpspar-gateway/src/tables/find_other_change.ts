import type { TablePage } from "./table_store.ts";

/**
 * Finds a change of another table in the answer of a feed. All tables take
 * their versions from one counter, so a version after `after` that none of the
 * page's rows has belongs to another table. Returns the highest such version;
 * undefined if there is none.
 */
export function findOtherChange(
  page: TablePage,
  after: number,
): number | undefined {
  const own = new Set(page.rows.map(({ version }) => version));
  let version = page.version;
  while (version > after && own.has(version)) version--;
  return version > after ? version : undefined;
}
