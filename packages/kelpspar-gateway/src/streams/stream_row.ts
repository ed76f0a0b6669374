import type { StreamOrigin } from "./stream_origin.ts";
import { z } from "zod";
import { streamOriginSchema } from "./stream_origin.ts";

/** Begun streams in one row of the store. */
export interface StreamRow {
  /** When the last of them has ended, by the store's clock, milliseconds. */
  readonly expiresAt: number;
  readonly software: readonly (StreamOrigin & {
    readonly attempts: readonly string[];
  })[];
}

const streamRowSchema = z.object({
  expiresAt: z.number(),
  software: z.array(
    streamOriginSchema.extend({ attempts: z.array(z.string()) }),
  ),
});

/** Undefined if another writer overwrote the row. */
export function decodeStreamRow(text: string): StreamRow | undefined {
  try {
    return streamRowSchema.parse(JSON.parse(text));
  } catch {
    return undefined;
  }
}
