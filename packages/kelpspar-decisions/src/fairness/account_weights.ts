/**
 * Minimum weight, also for accounts without a share. A weight of zero would
 * make an account's first call wait forever. The minimum also limits how fast
 * virtual time can grow.
 */
export const SMALLEST_WEIGHT = 0.0001;

/**
 * Scales shares to a sum of 1, each at least `SMALLEST_WEIGHT`. Shares that are
 * not positive numbers count as zero.
 */
export function normalizeWeights(
  shares: ReadonlyMap<string, number>,
): Map<string, number> {
  let sum = 0;
  for (const share of shares.values()) sum += usableShare(share);
  const weights = new Map<string, number>();
  for (const [accountId, share] of shares) {
    const weight = sum > 0 ? usableShare(share) / sum : 0;
    weights.set(accountId, Math.max(SMALLEST_WEIGHT, weight));
  }
  return weights;
}

function usableShare(share: number): number {
  return Number.isFinite(share) && share > 0 ? share : 0;
}
