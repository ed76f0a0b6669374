import type { EndpointState } from "./endpoint_state.ts";

/**
 * Of several endpoints those that get work now: the sound ones, else all that
 * want no pause. One that was set aside may still serve, and refusing is a
 * certain loss.
 */
export function preferSound(
  endpoints: readonly EndpointState[],
  now: number,
): readonly EndpointState[] {
  const awake = endpoints.filter((one) => one.pauseLeft(now) === 0);
  const sound = awake.filter((one) => one.isSound(now));
  return sound.length > 0 ? sound : awake;
}
