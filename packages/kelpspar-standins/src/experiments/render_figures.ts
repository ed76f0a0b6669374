import type { Figures } from "./experiment.ts";

const NAME_WIDTH = 26;

/** The figures of a line, one below the other, for people. */
export function renderFigures(figures: Figures): string {
  const lines = Object.entries(figures).map(([name, value]) =>
    `  ${name.padEnd(NAME_WIDTH)} ${
      typeof value === "string" ? value : JSON.stringify(value)
    }`
  );
  return [...lines, ""].join("\n");
}
