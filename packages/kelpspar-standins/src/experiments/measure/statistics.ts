/** Rounds to so many decimals; null when there is no such number. */
export function round(value: number, decimals: number): number {
  const factor = 10 ** decimals;
  return Math.round(value * factor) / factor;
}

/** The value below which a share of the sorted values lies; NaN if empty. */
export function quantile(sorted: readonly number[], share: number): number {
  const index = Math.min(
    sorted.length - 1,
    Math.floor(sorted.length * share),
  );
  return sorted[index] ?? NaN;
}

/** The share of items that a condition holds for; NaN if there are none. */
export function shareOf<Item>(
  items: readonly Item[],
  condition: (item: Item) => boolean,
): number {
  return round(items.filter(condition).length / items.length, 4);
}
