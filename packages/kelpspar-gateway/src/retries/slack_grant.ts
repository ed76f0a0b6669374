import { z } from "zod";

/** Message form of `SlackGrant`. */
export const slackGrantSchema = z.object({
  granted: z.number().int().min(0),
  retryAfterMilliseconds: z.number(),
});

/**
 * Answer to a daemon that borrows from the fleet's slack. Loans may be spent
 * for `GRANT_MILLISECONDS` after they were asked for.
 */
export interface SlackGrant {
  /** Number of retries. */
  readonly granted: number;
  /** Time until there may be more; 0 if all were granted. */
  readonly retryAfterMilliseconds: number;
}

/** How long the borrower may spend a grant, counted from its question. */
export const GRANT_MILLISECONDS = 800;
