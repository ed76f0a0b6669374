import type { EndpointState } from "./endpoint_state.ts";

/**
 * Milliseconds until the first of several endpoints may be sent anything: 0
 * when one may be now, or when there are none.
 */
export function pauseOfAll(
  endpoints: readonly EndpointState[],
  now: number,
): number {
  if (endpoints.length === 0) return 0;
  return Math.min(...endpoints.map((one) => one.pauseLeft(now)));
}
