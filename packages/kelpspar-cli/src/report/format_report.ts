import type { ReportSection } from "./report_section.ts";
import type { SiteReport } from "./site_report.ts";
import { formatTable } from "../output/format_table.ts";
import { describeReport } from "./describe_report.ts";

/** Formats a report for the terminal. */
export function formatReport(
  report: SiteReport,
  sections: readonly ReportSection[],
): string {
  const parts = sections.map(({ title, rows, columns }) => {
    const table = rows.length === 0 ? "(none)" : formatTable(rows, columns);
    return `${title}\n${table}`;
  });
  return [describeReport(report).join("\n"), ...parts].join("\n\n");
}
