import { z } from "zod";

/** The software that began a stream; only the same may continue it. */
export interface StreamOrigin {
  readonly service: string;
  /** Empty if its endpoints report no version. */
  readonly version: string;
}

/** What a daemon remembers, or tells another one, of a stream that began. */
export interface BegunStream extends StreamOrigin {
  /** Id of the caller's attempt that brought the first event. */
  readonly attemptId: string;
  /** Time that the caller waits for the stream, over all of its attempts. */
  readonly remainingMilliseconds: number;
  /** Sends of the attempt so far; a later answer replaces an earlier one. */
  readonly sends: number;
}

/** Schema of a `StreamOrigin` in messages between daemons. */
export const streamOriginSchema = z.object({
  service: z.string(),
  version: z.string(),
});

/** Schema of `BegunStream`s in messages between daemons. */
export const begunStreamsSchema = z.array(streamOriginSchema.extend({
  attemptId: z.string(),
  remainingMilliseconds: z.number(),
  sends: z.number().int(),
}));
