import type { EndpointRegistry } from "../endpoints/endpoint_registry.ts";
import type { EndpointRateLimiter } from "../endpoints/endpoint_rate_limiter.ts";

/** Minimum time between two probes of a service by one daemon. */
const PROBE_INTERVAL_MILLISECONDS = 1_000;

/** Options of `LimitedEndpointProbes`. */
export interface LimitedEndpointProbesOptions {
  readonly endpointRegistry: Pick<EndpointRegistry, "availableFor">;
  readonly rateLimiter: Pick<EndpointRateLimiter, "limitOf">;
}

/**
 * Selects the plain requests that the coordinator places although endpoints
 * without a limit are left. A daemon's own share of a limited endpoint is so
 * small that it would detect the end of the limit late, and the endpoint would
 * stay unused.
 */
export class LimitedEndpointProbes {
  readonly #options: LimitedEndpointProbesOptions;
  readonly #probedAt = new Map<string, number>();

  constructor(options: LimitedEndpointProbesOptions) {
    this.#options = options;
  }

  /** True at most once per interval while the service has limited endpoints. */
  tryStartProbe(service: string, now: number): boolean {
    const probedAt = this.#probedAt.get(service) ?? Number.NEGATIVE_INFINITY;
    if (now - probedAt < PROBE_INTERVAL_MILLISECONDS) return false;
    const { endpointRegistry, rateLimiter } = this.#options;
    const hasLimited = endpointRegistry.availableFor(service)
      .some((endpoint) => rateLimiter.limitOf(endpoint, now) !== undefined);
    if (hasLimited) this.#probedAt.set(service, now);
    return hasLimited;
  }
}
