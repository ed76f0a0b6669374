import { z } from "zod";

const rowSchema = z.object({
  key: z.string(),
  version: z.number(),
  text: z.string(),
  isRemoved: z.boolean(),
});

/** What a daemon asks of another that reads the store's tables. */
export const followRequestSchema = z.object({
  /** The store's era that it knows. */
  era: z.number().nullable(),
  /** Up to which version it knows each table; null where it knows nothing. */
  versions: z.record(z.string(), z.number().nullable()),
  /** Whether the last answer from there was fresh; a change is told at once. */
  wasFresh: z.boolean(),
  /** How long to wait for something to tell, milliseconds. */
  waitMilliseconds: z.number(),
});

/** What a daemon asks of another that reads the store's tables. */
export type FollowRequest = z.infer<typeof followRequestSchema>;

/** What it is told. */
export const followAnswerSchema = z.object({
  era: z.number().nullable(),
  /** Whether the tables are as the store has them, but for their age. */
  isFresh: z.boolean(),
  /** Since the store last said so, milliseconds. */
  ageMilliseconds: z.number(),
  /** How long entries that are missing may have lapsed, milliseconds. */
  lapseMilliseconds: z.number(),
  tables: z.array(z.object({
    table: z.string(),
    isWhole: z.boolean(),
    after: z.number(),
    version: z.number(),
    rows: z.array(rowSchema),
  })),
});

/** What it is told. */
export type FollowAnswer = z.infer<typeof followAnswerSchema>;
