import { Readable } from "node:stream";
import split2 from "split2";

const LONGEST_LINE_BYTES = 16 * 1024 * 1024;

/**
 * Reads newline-delimited JSON. Throws what the source throws, and a
 * SyntaxError for a line that is not JSON. The caller checks the shape.
 */
export async function* readJsonLines(
  source: Readable,
): AsyncGenerator<unknown, void, void> {
  const lines = split2({ maxLength: LONGEST_LINE_BYTES });
  source.on("error", (error) => lines.destroy(error));
  source.pipe(lines);
  try {
    for await (const line of lines) {
      if (line !== "") yield JSON.parse(line);
    }
  } finally {
    source.destroy();
  }
}
