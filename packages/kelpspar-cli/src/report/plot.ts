import type { TopLevelSpec } from "vega-lite";

/** The definition of a plot. */
export interface Plot {
  /** Also states which rows are omitted. */
  readonly caption: string;
  readonly specification: TopLevelSpec;
}

/** The maximum number of rows at which a plot remains readable. */
export const MAX_PLOTTED_ROWS = 40;

/** Selects the rows with the largest weight, in descending order. */
export function selectTopRows<Row>(
  rows: readonly Row[],
  weightOf: (row: Row) => number,
): readonly Row[] {
  return [...rows].sort((left, right) => weightOf(right) - weightOf(left))
    .slice(0, MAX_PLOTTED_ROWS);
}

/** Describes the omitted rows for a caption; "" if none are omitted. */
export function describeOmission(count: number, criterion: string): string {
  if (count <= MAX_PLOTTED_ROWS) return "";
  return ` (the ${MAX_PLOTTED_ROWS} of ${count} with the ${criterion}; the table has all)`;
}
