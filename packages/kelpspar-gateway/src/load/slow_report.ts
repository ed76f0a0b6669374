import { z } from "zod";

/** Most reports in a digest. */
export const MAXIMUM_SLOW_REPORTS = 8;
const MAXIMUM_ID_LENGTH = 200;

const countSchema = z.number().int().nonnegative();

/**
 * Message format of a report of a slowed endpoint: id and start of the
 * incarnation, running, waiting, slots, slowdown in percent, age in ms.
 */
const slowReportSchema = z.tuple([
  z.string().min(1).max(MAXIMUM_ID_LENGTH),
  z.number(),
  countSchema,
  countSchema,
  z.number().int().positive(),
  z.number().int().positive(),
  countSchema,
]);

/** Message format of a digest's reports. */
export const slowReportsSchema = z.array(slowReportSchema)
  .max(MAXIMUM_SLOW_REPORTS);

/** A report of a slowed endpoint as sent between daemons. */
export type SlowReport = z.infer<typeof slowReportSchema>;
