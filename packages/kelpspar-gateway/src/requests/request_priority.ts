/** Priorities of routes that are told apart among accounts of one priority. */
const ROUTE_LEVELS = 10;

/**
 * The priority of a request; 0 is the most urgent, and whole steps are those
 * of the account. Where an account has one it goes before the route's, which
 * then is a fraction: accounts that all have the same would otherwise make all
 * their requests alike, and a burst of what may wait delays what may not.
 */
export function requestPriority(
  accountPriority: number | undefined,
  routePriority: number,
): number {
  const level = accountPriority ?? routePriority;
  const route = Math.min(Math.max(0, routePriority), ROUTE_LEVELS - 1);
  return level + route / ROUTE_LEVELS;
}
