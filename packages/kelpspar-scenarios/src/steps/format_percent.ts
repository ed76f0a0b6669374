/** A share of 1 as a percentage with one digit. */
export function formatPercent(share: number): string {
  return `${(share * 100).toFixed(1)}%`;
}
