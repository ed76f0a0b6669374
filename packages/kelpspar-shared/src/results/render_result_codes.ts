import type { ResultCode } from "./result_code.ts";
import { RESULT_CODES } from "./result_codes.ts";

const HEADINGS = [
  "Number",
  "Name",
  "Outcome",
  "Come back",
  "HTTP",
  "Exit",
  "Meaning",
] as const;

/** Renders the Markdown table of docs/RESULT_CODES.md. */
export function renderResultCodes(): string {
  const rows = Object.entries<ResultCode>(RESULT_CODES).map(([name, row]) => [
    String(row.number),
    `\`${name}\``,
    `\`${row.outcome}\``,
    `\`${row.retry}\``,
    String(row.httpStatus),
    String(row.exitCode),
    row.meaning,
  ]);
  return renderTable([HEADINGS, ...rows]);
}

function renderTable(rows: readonly (readonly string[])[]): string {
  const widths = HEADINGS.map((_, column) =>
    Math.max(...rows.map((row) => row[column]?.length ?? 0))
  );
  const lines = rows.map((row) =>
    `| ${
      row.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join(" | ")
    } |`
  );
  const rule = `| ${widths.map((width) => "-".repeat(width)).join(" | ")} |`;
  return [lines[0], rule, ...lines.slice(1)].join("\n");
}
