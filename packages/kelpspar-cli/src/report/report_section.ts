import type { Plot } from "./plot.ts";

/** A row's cells, by the heading of their column. */
export type ReportRow = Readonly<Record<string, string | number | null>>;

/** A part of a report, for the terminal as well as for a page. */
export interface ReportSection {
  readonly title: string;
  readonly columns: readonly string[];
  readonly rows: readonly ReportRow[];
  /** Shown on pages only; absent when a table says enough. */
  readonly plot?: Plot;
}
