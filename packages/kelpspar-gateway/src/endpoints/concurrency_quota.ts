import type { RendezvousNodes } from "kelpspar-decisions/routing";

/** Inputs of `concurrencyQuota`. */
export interface ConcurrencyQuotaOptions {
  readonly endpointId: string;
  /** Requests that the endpoint runs at the same time. */
  readonly capacity: number;
  readonly daemonId: string;
  /** All daemons that send requests, in any order. */
  readonly daemons: RendezvousNodes;
}

/**
 * Number of requests that a daemon may have open at an endpoint. Daemons with
 * the same view of the fleet compute quotas that add up to the capacity.
 */
export function concurrencyQuota(options: ConcurrencyQuotaOptions): number {
  const { endpointId, capacity, daemonId, daemons } = options;
  const count = Math.max(1, daemons.size);
  const remainder = capacity % count;
  const hasExtra = remainder > 0 &&
    daemons.best(endpointId, remainder).includes(daemonId);
  return Math.floor(capacity / count) + (hasExtra ? 1 : 0);
}
