import { z } from "zod";

const schema = z.looseObject({
  /** Wall-clock time; clocks of different daemons may differ. */
  time: z.string(),
  level: z.string(),
  message: z.string(),
  daemon: z.string().default(""),
  /** The id of the request's attempt. */
  attempt: z.string().optional(),
  /** Identical for all attempts of a request. */
  fingerprint: z.string().optional(),
  /** Ids of the attempts whose pieces a call carried, joined by commas. */
  attempts: z.string().optional(),
  /** Ids of parts of prompts, joined by commas. */
  parts: z.string().optional(),
  /** Crashes of endpoints, joined by commas. */
  crashes: z.string().optional(),
  endpoint: z.string().optional(),
  /** Start of the endpoint, Unix milliseconds. */
  bornAt: z.number().optional(),
  isReported: z.boolean().optional(),
  /** What a crash counts against the parts of its request. */
  weight: z.number().optional(),
  /** How long an answer had written events before it was cut. */
  wroteMilliseconds: z.number().optional(),
  /** How long before a cut its request was sent. */
  sentMillisecondsAgo: z.number().optional(),
  /** What an operator named. */
  id: z.string().optional(),
});

/** A structured log line of a daemon. */
export type LogLine = z.infer<typeof schema>;

/**
 * Parses one line; returns undefined if it is not a structured line. A prefix
 * that a log collector added before the JSON is skipped.
 */
export function parseLogLine(text: string): LogLine | undefined {
  const start = text.indexOf("{");
  if (start < 0) return undefined;
  try {
    return schema.safeParse(JSON.parse(text.slice(start))).data;
  } catch {
    // Skips lines that are truncated or from another program.
    return undefined;
  }
}
