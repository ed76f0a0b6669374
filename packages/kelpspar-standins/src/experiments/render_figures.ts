import type { Figures } from "./experiment.ts";

const NAME_WIDTH = 26;

/** Renders figures as human-readable text, one per line. */
export function renderFigures(figures: Figures): string {
  const lines = Object.entries(figures).map(([name, value]) =>
    `  ${name.padEnd(NAME_WIDTH)} ${
      typeof value === "string" ? value : JSON.stringify(value)
    }`
  );
  return [...lines, ""].join("\n");
}
