/**
 * The share of the whole that an account without a share gets, as does one
 * whose share is smaller: a weight of zero would make its first call wait for
 * ever. It also bounds how fast virtual time can grow.
 */
export const SMALLEST_WEIGHT = 0.0001;

/**
 * Scales shares so that they add up to 1, none below `SMALLEST_WEIGHT`.
 * Shares that are not positive numbers count as zero.
 */
export function normalizeWeights(
  shares: ReadonlyMap<string, number>,
): Map<string, number> {
  let sum = 0;
  for (const share of shares.values()) sum += usable(share);
  const weights = new Map<string, number>();
  for (const [accountId, share] of shares) {
    const weight = sum > 0 ? usable(share) / sum : 0;
    weights.set(accountId, Math.max(SMALLEST_WEIGHT, weight));
  }
  return weights;
}

function usable(share: number): number {
  return Number.isFinite(share) && share > 0 ? share : 0;
}
