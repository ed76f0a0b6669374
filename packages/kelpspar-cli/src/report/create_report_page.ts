import type { ReportSection } from "./report_section.ts";
import type { SiteReport } from "./site_report.ts";
import { describeReport } from "./describe_report.ts";
import { escapeHtml } from "./escape_html.ts";
import { renderPlot } from "./render_plot.ts";

const MAX_DECIMALS = 3;
const ABSENT = "-";
const STYLE = [
  "body{font:14px sans-serif;margin:2em;color:#222}",
  "table{border-collapse:collapse;margin:1em 0}",
  "th,td{padding:.2em .8em;border-bottom:1px solid #ddd;text-align:left}",
  "td.number{text-align:right;font-variant-numeric:tabular-nums}",
  "figure{margin:1em 0}",
].join("");
// The page loads no resources. If a name were not escaped correctly, this
// policy would still keep the browser from running scripts or loading anything.
const CONTENT_SECURITY_POLICY = "default-src 'none'; style-src 'unsafe-inline'";

/** Creates a self-contained HTML page with inline plots. */
export async function createReportPage(
  report: SiteReport,
  sections: readonly ReportSection[],
): Promise<string> {
  const parts: string[] = [];
  for (const section of sections) parts.push(await createSection(section));
  const title = escapeHtml(`kelpspar report of ${report.site}`);
  const lines = describeReport(report).map((line) =>
    `<p>${escapeHtml(line)}</p>`
  );
  return [
    "<!DOCTYPE html>",
    '<html lang="en"><head><meta charset="utf-8">',
    `<meta http-equiv="Content-Security-Policy" content="${CONTENT_SECURITY_POLICY}">`,
    `<title>${title}</title><style>${STYLE}</style></head><body>`,
    `<h1>${title}</h1>`,
    ...lines,
    ...parts,
    "</body></html>",
    "",
  ].join("\n");
}

async function createSection(section: ReportSection): Promise<string> {
  const { title, rows, columns, plot } = section;
  const heading = `<h2>${escapeHtml(title)}</h2>`;
  if (rows.length === 0) return `${heading}\n<p>None</p>`;
  const figure = plot === undefined ? "" : [
    `<figure>${await renderPlot(plot.specification)}`,
    `<figcaption>${escapeHtml(plot.caption)}</figcaption></figure>`,
  ].join("\n");
  const headings = columns.map((column) => `<th>${escapeHtml(column)}</th>`);
  const lines = rows.map((row) =>
    `<tr>${columns.map((column) => toCell(row[column])).join("")}</tr>`
  );
  const table = [`<tr>${headings.join("")}</tr>`, ...lines].join("\n");
  return `${heading}\n${figure}\n<table>\n${table}\n</table>`;
}

function toCell(value: string | number | null | undefined): string {
  if (typeof value === "number") {
    const text = String(Number(value.toFixed(MAX_DECIMALS)));
    return `<td class="number">${text}</td>`;
  }
  return `<td>${escapeHtml(value ?? ABSENT)}</td>`;
}
