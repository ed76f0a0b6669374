import type { EndpointState } from "./endpoint_state.ts";

/**
 * Shortest remaining pause of several endpoints, milliseconds: 0 if one of them
 * may be called now or if there are none.
 */
export function shortestPause(
  endpoints: readonly EndpointState[],
  now: number,
): number {
  if (endpoints.length === 0) return 0;
  return Math.min(
    ...endpoints.map((endpoint) => endpoint.remainingPauseMilliseconds(now)),
  );
}
