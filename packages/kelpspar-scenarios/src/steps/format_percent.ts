/** Formats a fraction as a percentage with one decimal place. */
export function formatPercent(share: number): string {
  return `${(share * 100).toFixed(1)}%`;
}
