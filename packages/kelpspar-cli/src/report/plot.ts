import type { TopLevelSpec } from "vega-lite";

/** A plot, not drawn yet. */
export interface Plot {
  /** Says what it leaves out. */
  readonly caption: string;
  readonly specification: TopLevelSpec;
}

/** Rows that a plot can show and still be read. */
export const MOST_PLOTTED_ROWS = 40;

/** Takes the rows that matter most, those with the largest weight. */
export function chooseRows<Row>(
  rows: readonly Row[],
  weigh: (row: Row) => number,
): readonly Row[] {
  return [...rows].sort((left, right) => weigh(right) - weigh(left))
    .slice(0, MOST_PLOTTED_ROWS);
}

/** What the caption says when rows were left out. */
export function describeChoice(count: number, criterion: string): string {
  if (count <= MOST_PLOTTED_ROWS) return "";
  return ` (the ${MOST_PLOTTED_ROWS} of ${count} with the ${criterion}; the table has all)`;
}
