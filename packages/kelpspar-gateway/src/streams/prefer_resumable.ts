import type { EndpointState } from "../endpoints/endpoint_state.ts";
import { softwareOf } from "./software_of.ts";

/**
 * Endpoints for a resumable stream that begins: those whose software version
 * another one has too, if one of them has a free slot; otherwise all. A stream
 * at the last endpoint of its version couldn't be taken up elsewhere.
 */
export function preferResumable(
  endpoints: readonly EndpointState[],
  now: number,
): readonly EndpointState[] {
  const counts = new Map<string, number>();
  for (const { entry } of endpoints) {
    const { version } = softwareOf(entry);
    counts.set(version, (counts.get(version) ?? 0) + 1);
  }
  if (counts.size <= 1) return endpoints;
  const preferred = endpoints.filter(({ entry }) =>
    (counts.get(softwareOf(entry).version) ?? 0) > 1
  );
  const hasFreeSlot = preferred.some((endpoint) =>
    endpoint.isHealthy(now) &&
    endpoint.load.expectedQueue(now) < endpoint.load.slots
  );
  return hasFreeSlot ? preferred : endpoints;
}
