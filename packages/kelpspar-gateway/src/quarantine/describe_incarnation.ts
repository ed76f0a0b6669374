import type { EndpointEntry } from "../endpoints/endpoint_entry.ts";

/** Identifies an incarnation of an endpoint, and so the crash that ends it. */
export function describeIncarnation(
  { id, bornAt }: Pick<EndpointEntry, "id" | "bornAt">,
): string {
  return `${id} born ${bornAt}`;
}
