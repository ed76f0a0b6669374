import type { Readable, Transform } from "node:stream";
import split2 from "split2";

const MAXIMUM_LINE_BYTES = 16 * 1024 * 1024;

/**
 * Reads newline-delimited JSON. Propagates errors of the source and throws a
 * SyntaxError for a line that is not JSON. The caller validates the values.
 */
export function readJsonLines(source: Readable): AsyncIterable<unknown> {
  const lines = split2(parseLine, { maxLength: MAXIMUM_LINE_BYTES });
  source.on("error", (error) => lines.destroy(error));
  lines.on("close", () => source.destroy());
  return source.pipe(lines) as Transform;
}

/** Parses newline-delimited JSON from a complete text. */
export function parseJsonLines(text: string): unknown[] {
  return text.split("\n").filter((line) => line !== "").map((line) =>
    JSON.parse(line)
  );
}

/** Returns undefined for an empty line, which `split2` skips. */
function parseLine(line: string): unknown {
  return line === "" ? undefined : JSON.parse(line);
}
