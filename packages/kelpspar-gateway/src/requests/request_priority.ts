/** Number of distinct route priorities within one account priority. */
const ROUTE_PRIORITY_LEVELS = 10;

/**
 * Returns the priority of a request; 0 is the most urgent. The integer part is
 * the account's priority, or the route's if the account has none. The fraction
 * is the route's priority: among accounts of equal priority, a burst of less
 * urgent requests would otherwise delay urgent ones.
 */
export function requestPriority(
  accountPriority: number | undefined,
  routePriority: number,
): number {
  const level = accountPriority ?? routePriority;
  const route = Math.min(
    Math.max(0, routePriority),
    ROUTE_PRIORITY_LEVELS - 1,
  );
  return level + route / ROUTE_PRIORITY_LEVELS;
}
