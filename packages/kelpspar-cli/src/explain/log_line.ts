import { z } from "zod";

const schema = z.looseObject({
  /** Wall-clock time; daemons' clocks may differ. */
  time: z.string(),
  level: z.string(),
  message: z.string(),
  daemon: z.string().default(""),
  /** The request's attempt. */
  attempt: z.string().optional(),
  /** The same for each repeat of a request. */
  fingerprint: z.string().optional(),
  /** Attempts that a call carried pieces of, joined by commas. */
  attempts: z.string().optional(),
});

/** A structured line of a daemon's log. */
export type LogLine = z.infer<typeof schema>;

/**
 * Reads one line; undefined when it is no structured line. What a collector
 * put before the JSON is passed over.
 */
export function parseLogLine(text: string): LogLine | undefined {
  const start = text.indexOf("{");
  if (start < 0) return undefined;
  try {
    return schema.safeParse(JSON.parse(text.slice(start))).data;
  } catch {
    // A line that was cut or isn't ours; the others still tell their part.
    return undefined;
  }
}
