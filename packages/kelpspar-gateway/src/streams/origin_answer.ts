import type { StreamOrigin } from "./stream_origin.ts";
import { z } from "zod";
import { streamOriginSchema } from "./stream_origin.ts";

/** What a daemon knows of a stream that another daemon asks for. */
export interface OriginAnswer {
  /** Undefined if it doesn't know the stream. */
  readonly origin?: StreamOrigin | undefined;
  /** Recent software versions of the services that the stream may be of. */
  readonly recent: readonly StreamOrigin[];
  /** True if `recent` lacks no version as far as the daemon can know. */
  readonly isComplete?: boolean | undefined;
}

/** Schema of an `OriginAnswer`. */
export const originAnswerSchema = z.object({
  origin: streamOriginSchema.optional(),
  recent: z.array(streamOriginSchema),
  /** Daemons of the previous version don't send it. */
  isComplete: z.boolean().optional(),
});
