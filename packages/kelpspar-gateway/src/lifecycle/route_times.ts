import { z } from "zod";

/** Times of a route's answers as daemons tell them, milliseconds. */
export const routeTimesSchema = z.object({
  route: z.string(),
  meanMilliseconds: z.number().nonnegative(),
  longestMilliseconds: z.number().nonnegative(),
});

/** Times of a route's answers as daemons tell them, milliseconds. */
export type RouteTimes = z.infer<typeof routeTimesSchema>;

/** The times of the routes that a daemon knows. */
export const routeTimesPageSchema = z.array(routeTimesSchema);
