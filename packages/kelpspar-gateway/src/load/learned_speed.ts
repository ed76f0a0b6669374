import { z } from "zod";

/** Longest id of an endpoint that is accepted from other daemons. */
const MAXIMUM_ID_LENGTH = 200;
/** Most entries of a message; a page of 4 KB has some 90. */
const MAXIMUM_ENTRIES = 400;
/** The level of four times the median speed, rounded up. */
const MAXIMUM_LEVEL = 15;

/**
 * Message format of learned speeds: id and start of the incarnation, level and
 * revision of each.
 */
export const speedMessageSchema = z.array(z.tuple([
  z.string().min(1).max(MAXIMUM_ID_LENGTH),
  z.number(),
  z.number().int().min(-MAXIMUM_LEVEL).max(MAXIMUM_LEVEL),
  z.number().int().min(1),
])).max(MAXIMUM_ENTRIES);

/** Learned speeds as sent between daemons. */
export type SpeedMessage = z.infer<typeof speedMessageSchema>;

/** A learned speed: id, start of the incarnation, level and revision. */
export type LearnedSpeed = SpeedMessage[number];

/** Ratio between the speeds of two adjacent levels. */
const LEVEL_RATIO = 1.1;

/** Rounds a speed, relative to the median, to a level. */
export function toLevel(speed: number): number {
  const level = Math.round(Math.log(speed) / Math.log(LEVEL_RATIO));
  return Math.max(-MAXIMUM_LEVEL, Math.min(MAXIMUM_LEVEL, level));
}

export function fromLevel(level: number): number {
  return LEVEL_RATIO ** level;
}
