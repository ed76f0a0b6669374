import type { DaemonRecord } from "./site_records.ts";
import { compareKeys } from "./compare_keys.ts";

/** The outcomes of a client account's requests, summed over total daemons. */
export interface AccountFigures {
  readonly id: string;
  /** The share in the configuration. */
  readonly share: number;
  readonly completed: number;
  readonly failed: number;
  readonly refused: number;
  /**
   * Completed requests as a fraction of total requests, including refused ones,
   * 0 to 1; null if there are none.
   */
  readonly attainment: number | null;
}

/** Sums the client accounts' figures of total daemons. */
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
    const total = completed + failed + refused;
    const attainment = total === 0 ? null : completed / total;
    sums.set(id, { id, share, completed, failed, refused, attainment });
  }
  return [...sums.values()].sort((left, right) =>
    compareKeys([left.id], [right.id])
  );
}
