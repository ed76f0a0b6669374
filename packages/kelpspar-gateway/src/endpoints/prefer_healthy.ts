import type { EndpointState } from "./endpoint_state.ts";

/**
 * Selects the endpoints that may get work now: the healthy ones, or else all
 * that requested no pause. An endpoint that was set aside may still succeed,
 * while a refused request certainly fails.
 */
export function preferHealthy(
  endpoints: readonly EndpointState[],
  now: number,
): readonly EndpointState[] {
  const unpaused = endpoints.filter((endpoint) =>
    endpoint.remainingPauseMilliseconds(now) === 0
  );
  const healthy = unpaused.filter((endpoint) => endpoint.isHealthy(now));
  return healthy.length > 0 ? healthy : unpaused;
}
