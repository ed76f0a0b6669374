import type { EndpointState } from "../endpoints/endpoint_state.ts";
import type { StreamOrigin } from "./stream_origin.ts";
import { softwareOf } from "./software_of.ts";

/** Options of `preferSettled`. */
export interface PreferSettledOptions {
  /** False for software that other daemons may not know of yet. */
  readonly isSettled: (software: StreamOrigin) => boolean;
  /** Monotonic milliseconds. */
  readonly now: number;
}

/**
 * Endpoints for a resumable stream that begins: those of software that all
 * daemons know of, if one of them is healthy; otherwise all. A daemon that
 * doesn't know of the software would continue the stream at another.
 */
export function preferSettled(
  endpoints: readonly EndpointState[],
  { isSettled, now }: PreferSettledOptions,
): readonly EndpointState[] {
  const settled = endpoints.filter(({ entry }) => isSettled(softwareOf(entry)));
  return settled.some((endpoint) => endpoint.isHealthy(now))
    ? settled
    : endpoints;
}
