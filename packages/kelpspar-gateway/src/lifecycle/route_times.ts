import { z } from "zod";

/** Times of a route's answers as daemons tell them, milliseconds. */
export const routeTimesSchema = z.object({
  route: z.string(),
  /** Number of answers that the times are of. */
  answers: z.number().int().nonnegative(),
  meanMilliseconds: z.number().nonnegative(),
  longestMilliseconds: z.number().nonnegative(),
  /** Time in which longer answers would have been seen, if they had ended. */
  observedMilliseconds: z.number().nonnegative(),
  /** Time since the end of the longest answer. */
  ageMilliseconds: z.number().nonnegative(),
});

/** Times of a route's answers as daemons tell them, milliseconds. */
export type RouteTimes = z.infer<typeof routeTimesSchema>;

/** The times of the routes that a daemon knows. */
export const routeTimesPageSchema = z.array(routeTimesSchema);
