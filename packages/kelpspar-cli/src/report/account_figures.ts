import type { DaemonRecord } from "./site_records.ts";
import { compareKeys } from "./compare_keys.ts";

/** What became of a client account's requests at all daemons. */
export interface AccountFigures {
  readonly id: string;
  /** The share that the configuration gives it. */
  readonly share: number;
  readonly completed: number;
  readonly failed: number;
  readonly refused: number;
  /** Completed of all, refused ones too, 0 to 1; null when there are none. */
  readonly attainment: number | null;
}

/** Adds up what the daemons tell about client accounts. */
export function sumAccounts(
  records: readonly DaemonRecord[],
): readonly AccountFigures[] {
  const sums = new Map<string, AccountFigures>();
  for (const account of records.flatMap(({ accounts }) => accounts)) {
    const { id, share } = account;
    const sum = sums.get(id);
    const completed = (sum?.completed ?? 0) + account.completed;
    const failed = (sum?.failed ?? 0) + account.failed;
    const refused = (sum?.refused ?? 0) + account.refused;
    const all = completed + failed + refused;
    const attainment = all === 0 ? null : completed / all;
    sums.set(id, { id, share, completed, failed, refused, attainment });
  }
  return [...sums.values()].sort((left, right) =>
    compareKeys([left.id], [right.id])
  );
}
