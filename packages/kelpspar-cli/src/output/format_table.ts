type Row = Readonly<Record<string, unknown>>;

const COLUMN_SEPARATOR = "  ";
const ABSENT = "-";

/** Formats rows as a table with aligned columns and headings. */
export function formatTable(
  rows: readonly Row[],
  columns: readonly string[],
): string {
  const lines = [
    columns.map(toHeading),
    ...rows.map((row) => columns.map((column) => toCell(row[column]))),
  ];
  const widths = columns.map((_, index) =>
    Math.max(...lines.map((line) => line[index]?.length ?? 0))
  );
  return lines.map((line) =>
    line.map((cell, index) => cell.padEnd(widths[index] ?? 0)).join(
      COLUMN_SEPARATOR,
    )
      .trimEnd()
  ).join("\n");
}

/** Converts `inFlight` to `IN FLIGHT`. */
function toHeading(column: string): string {
  return column.replaceAll(/(?=[A-Z])/g, " ").toUpperCase();
}

function toCell(value: unknown): string {
  if (value === undefined || value === null || value === "") return ABSENT;
  if (typeof value === "number") return String(Number(value.toFixed(3)));
  return typeof value === "string" ? value : JSON.stringify(value);
}
