import type { Plot } from "./plot.ts";

/** A row's cells, keyed by column heading. */
export type ReportRow = Readonly<Record<string, string | number | null>>;

/** A section of a report, for the terminal and for HTML pages. */
export interface ReportSection {
  readonly title: string;
  readonly columns: readonly string[];
  readonly rows: readonly ReportRow[];
  /** Shown on HTML pages only; absent if the table is sufficient. */
  readonly plot?: Plot;
}
