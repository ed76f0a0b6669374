import { z } from "zod";

const countSchema = z.number().int().nonnegative();

/**
 * Message format of the load that a daemon attaches to a release, so that the
 * coordinator learns from each request without further messages.
 */
export const releaseLoadSchema = z.object({
  endpointId: z.string(),
  /** Start of the incarnation, Unix milliseconds. */
  bornAt: z.number(),
  running: countSchema,
  waiting: countSchema,
  slots: z.number().int().positive(),
  slowdown: z.number().positive().optional(),
  /** An age rather than a time, because daemons' clocks differ. */
  ageMilliseconds: z.number().nonnegative(),
  /** Time from send to first byte. */
  firstByteMilliseconds: z.number().nonnegative(),
});

/** Newest load report of the endpoint that ran a request, and its time. */
export type ReleaseLoad = z.infer<typeof releaseLoadSchema>;
