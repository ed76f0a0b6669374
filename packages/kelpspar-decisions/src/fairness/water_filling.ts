import type { AccountDemand } from "./demand_digest.ts";

/**
 * Shares `total` slots among accounts by weight, none getting more than it
 * asks for (weighted max-min fairness): what an account leaves unused goes to
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
  let left = options.total;
  let weights = rows.reduce((sum, row) => sum + row.weight, 0);
  const slots = new Map<string, number>();
  for (const row of rows) {
    const fair = left * row.weight / weights;
    const given = Math.max(0, Math.min(row.demand, fair));
    slots.set(row.accountId, given);
    left -= given;
    weights -= row.weight;
  }
  return slots;
}
