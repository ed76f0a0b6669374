/** Rounds to a number of decimals; NaN stays NaN, which JSON shows as null. */
export function round(value: number, decimals: number): number {
  const factor = 10 ** decimals;
  return Math.round(value * factor) / factor;
}

/** The quantile of sorted values, with `share` from 0 to 1; NaN if empty. */
export function quantile(sorted: readonly number[], share: number): number {
  const index = Math.min(
    sorted.length - 1,
    Math.floor(sorted.length * share),
  );
  return sorted[index] ?? NaN;
}

/** Share of items that meet a condition; NaN if there are no items. */
export function shareOf<Item>(
  items: readonly Item[],
  condition: (item: Item) => boolean,
): number {
  return round(items.filter(condition).length / items.length, 4);
}
