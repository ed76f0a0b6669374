import type { Readable, Transform } from "node:stream";
import split2 from "split2";

const LONGEST_LINE_BYTES = 16 * 1024 * 1024;

/**
 * Reads newline-delimited JSON. Throws what the source throws, and a
 * SyntaxError for a line that is not JSON. The caller checks the shape.
 */
export function readJsonLines(source: Readable): AsyncIterable<unknown> {
  const lines = split2(parseLine, { maxLength: LONGEST_LINE_BYTES });
  source.on("error", (error) => lines.destroy(error));
  lines.on("close", () => source.destroy());
  return source.pipe(lines) as Transform;
}

/** Reads the lines of a text that has arrived whole. */
export function parseJsonLines(text: string): unknown[] {
  return text.split("\n").filter((line) => line !== "").map((line) =>
    JSON.parse(line)
  );
}

/** An empty line gives undefined, which is not passed on. */
function parseLine(line: string): unknown {
  return line === "" ? undefined : JSON.parse(line);
}
