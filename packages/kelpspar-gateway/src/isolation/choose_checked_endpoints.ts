import type { RandomSource } from "kelpspar-shared";
import type { EndpointEntry } from "../endpoints/endpoint_entry.ts";

/** Options of `chooseCheckedEndpoints`. */
export interface ChooseCheckedEndpointsOptions {
  readonly count: number;
  /** Endpoint that isn't chosen because it just failed. */
  readonly failedId: string | undefined;
  /**
   * When a connection to an endpoint was last opened, monotonic milliseconds;
   * undefined if none was.
   */
  readonly connectedAt?: (id: string) => number | undefined;
  readonly random: RandomSource;
}

/** Endpoints that are chosen because they accepted connections last. */
const MAXIMUM_RECENT_ENDPOINTS = 2;

/**
 * Chooses random endpoints of as many services as possible: all endpoints of
 * one service may be down together. Before them come those that accepted
 * connections last, since nothing may listen at most listed addresses.
 */
export function chooseCheckedEndpoints(
  entries: readonly EndpointEntry[],
  options: ChooseCheckedEndpointsOptions,
): readonly EndpointEntry[] {
  const { count, failedId, random } = options;
  const recent = listRecent(entries, options);
  const failed = entries.find(({ id }) => id === failedId);
  const services = new Set(failed === undefined ? [] : [failed.service]);
  const rest = entries.filter((entry) =>
    entry.id !== failedId && !recent.includes(entry)
  );
  const firstOfService: EndpointEntry[] = [];
  const others: EndpointEntry[] = [];
  while (rest.length > 0) {
    const [entry] = rest.splice(random.nextInteger(rest.length), 1);
    if (entry === undefined) break;
    (services.has(entry.service) ? others : firstOfService).push(entry);
    services.add(entry.service);
  }
  return [...recent, ...[...firstOfService, ...others].slice(0, count)];
}

function listRecent(
  entries: readonly EndpointEntry[],
  { failedId, connectedAt = () => undefined }: ChooseCheckedEndpointsOptions,
): readonly EndpointEntry[] {
  return entries
    .flatMap((entry) => {
      const at = connectedAt(entry.id);
      return at === undefined || entry.id === failedId ? [] : [{ entry, at }];
    })
    .sort((left, right) => right.at - left.at)
    .slice(0, MAXIMUM_RECENT_ENDPOINTS)
    .map(({ entry }) => entry);
}
