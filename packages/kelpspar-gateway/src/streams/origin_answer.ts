import type { StreamOrigin } from "./stream_origin.ts";
import { z } from "zod";
import { streamOriginSchema } from "./stream_origin.ts";

/** What a daemon knows of a stream that another daemon asks for. */
export interface OriginAnswer {
  /** Undefined if it doesn't know the stream. */
  readonly origin?: StreamOrigin | undefined;
  /** Recent software versions of the services that the stream may be of. */
  readonly recent: readonly StreamOrigin[];
}

/** Schema of an `OriginAnswer`. */
export const originAnswerSchema = z.object({
  origin: streamOriginSchema.optional(),
  recent: z.array(streamOriginSchema),
});
