import { z } from "zod";

const rowSchema = z.object({
  key: z.string(),
  version: z.number(),
  text: z.string(),
  isRemoved: z.boolean(),
});

/** Request of a follower to a daemon that reads the store's tables. */
export const followRequestSchema = z.object({
  /** The store's era as known to the follower. */
  era: z.number().nullable(),
  /** The follower's version of each table; null where it has no copy. */
  versions: z.record(z.string(), z.number().nullable()),
  /** Whether the last answer was fresh; a difference is answered at once. */
  wasFresh: z.boolean(),
  /** Longest wait for a change, milliseconds. */
  waitMilliseconds: z.number(),
  /**
   * Whether the answer may leave out rows that the follower has. Daemons of the
   * previous version don't send it.
   */
  omitsUnchanged: z.boolean().optional(),
});

/** Request of a follower to a daemon that reads the store's tables. */
export type FollowRequest = z.infer<typeof followRequestSchema>;

/** Answer to a `FollowRequest`. */
export const followAnswerSchema = z.object({
  era: z.number().nullable(),
  /** Whether the tables matched the store `ageMilliseconds` ago. */
  isFresh: z.boolean(),
  /** Time since the store last confirmed them, milliseconds. */
  ageMilliseconds: z.number(),
  /** Time in which missing entries may merely have expired, milliseconds. */
  lapseMilliseconds: z.number(),
  tables: z.array(z.object({
    table: z.string(),
    isWhole: z.boolean(),
    after: z.number(),
    version: z.number(),
    rows: z.array(rowSchema),
    unchanged: z.array(z.string()).optional(),
  })),
});

/** Answer to a `FollowRequest`. */
export type FollowAnswer = z.infer<typeof followAnswerSchema>;
