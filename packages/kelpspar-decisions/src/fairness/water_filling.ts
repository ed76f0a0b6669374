import type { AccountDemand } from "./demand_digest.ts";

/**
 * Shares `total` slots among accounts by weight, giving none more than its
 * demand (weighted max-min fairness): slots that an account leaves unused go to
 * the others by their weights. Returns the slots of each account.
 */
export function fillByWeight(
  demands: readonly AccountDemand[],
  options: {
    readonly total: number;
    readonly weightOf: (accountId: string) => number;
  },
): Map<string, number> {
  const rows = demands.map(({ accountId, demand }) => {
    const weight = options.weightOf(accountId);
    return { accountId, demand, weight, level: demand / weight };
  }).sort((first, second) => first.level - second.level);
  let remaining = options.total;
  let weights = rows.reduce((sum, row) => sum + row.weight, 0);
  const slots = new Map<string, number>();
  for (const row of rows) {
    const fairSlots = remaining * row.weight / weights;
    const allocated = Math.max(0, Math.min(row.demand, fairSlots));
    slots.set(row.accountId, allocated);
    remaining -= allocated;
    weights -= row.weight;
  }
  return slots;
}
