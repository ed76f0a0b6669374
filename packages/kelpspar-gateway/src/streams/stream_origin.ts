import { z } from "zod";

/** The software that began a stream; only the same may continue it. */
export interface StreamOrigin {
  readonly service: string;
  /** Empty if its endpoints report no version. */
  readonly version: string;
}

/** Time until callers have noticed that a stream has reached its deadline. */
export const EXPIRY_MARGIN_MILLISECONDS = 1_000;

/** A stream whose first event has reached its caller. */
export interface RecordedStream extends StreamOrigin {
  /** Account and id of the caller's attempt that brought the first event. */
  readonly attemptId: string;
  /** Time that the caller waits for the stream, over all of its attempts. */
  readonly remainingMilliseconds: number;
}

/** What a daemon remembers, or tells another one, of a stream that began. */
export interface BegunStream extends RecordedStream {
  /** Sends of the attempt so far; a later answer replaces an earlier one. */
  readonly sends: number;
  /** Its route, which may have moved to the service lately. */
  readonly route?: string | undefined;
}

/** Schema of a `StreamOrigin` in messages between daemons. */
export const streamOriginSchema = z.object({
  service: z.string(),
  version: z.string(),
});

const recordedStreamSchema = streamOriginSchema.extend({
  attemptId: z.string(),
  remainingMilliseconds: z.number(),
});

/** Schema of `RecordedStream`s in messages between daemons. */
export const recordedStreamsSchema = z.array(recordedStreamSchema);

/** Schema of `BegunStream`s in messages between daemons. */
export const begunStreamsSchema = z.array(
  recordedStreamSchema.extend({
    sends: z.number().int(),
    /** Daemons of the previous version don't send it. */
    route: z.string().optional(),
  }),
);
