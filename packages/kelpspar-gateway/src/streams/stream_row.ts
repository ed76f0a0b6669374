import type { StreamOrigin } from "./stream_origin.ts";
import { z } from "zod";

/** A stream whose first event has reached its caller. */
export interface RecordedStream extends StreamOrigin {
  /** Id of the caller's attempt that brought the first event. */
  readonly attemptId: string;
  /** Time that the caller waits for the stream, over all of its attempts. */
  readonly remainingMilliseconds: number;
}

/** Begun streams in one row of the store. */
export interface StreamRow {
  /** When the last of them has ended, by the store's clock, milliseconds. */
  readonly expiresAt: number;
  readonly software: readonly (StreamOrigin & {
    readonly attempts: readonly string[];
  })[];
}

/** Schema of `RecordedStream`s in messages between daemons. */
export const recordedStreamsSchema = z.array(z.object({
  service: z.string(),
  version: z.string(),
  attemptId: z.string(),
  remainingMilliseconds: z.number(),
}));

const streamRowSchema = z.object({
  expiresAt: z.number(),
  software: z.array(z.object({
    service: z.string(),
    version: z.string(),
    attempts: z.array(z.string()),
  })),
});

/** Undefined if another writer overwrote the row. */
export function decodeStreamRow(text: string): StreamRow | undefined {
  try {
    return streamRowSchema.parse(JSON.parse(text));
  } catch {
    return undefined;
  }
}
