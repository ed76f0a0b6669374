import type { Measurement } from "./measurement.ts";

const HEADINGS = [
  "Role",
  "Operation",
  "Size",
  "Microseconds",
  "State bytes",
  "Message bytes",
  "Count",
];

/** Renders measurements as a Markdown table. */
export function renderMeasurements(
  measurements: readonly Measurement[],
): string {
  const rows = [
    HEADINGS,
    HEADINGS.map(() => "---"),
    ...measurements.map(toCells),
  ];
  return rows.map((cells) => `| ${cells.join(" | ")} |`).join("\n");
}

function toCells(measurement: Measurement): string[] {
  const { role, name, unit, size } = measurement;
  return [
    role,
    name,
    `${size} ${unit}`,
    formatNumber(measurement.microseconds),
    formatNumber(measurement.stateBytes),
    formatNumber(measurement.messageBytes),
    formatNumber(measurement.count),
  ];
}

function formatNumber(value: number | undefined): string {
  return value === undefined ? "" : value.toLocaleString("en-US");
}
