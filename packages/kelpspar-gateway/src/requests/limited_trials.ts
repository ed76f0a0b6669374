import type { EndpointRegistry } from "../endpoints/endpoint_registry.ts";
import type { EndpointRateLimiter } from "../endpoints/endpoint_rate_limiter.ts";

/** How often a daemon asks for a service, milliseconds. */
const TRIAL_MILLISECONDS = 1_000;

/** What trials are decided from. */
export interface LimitedTrialsOptions {
  readonly book: Pick<EndpointRegistry, "availableFor">;
  readonly gate: Pick<EndpointRateLimiter, "limitOf">;
}

/**
 * Decides which plain requests the coordinator is asked to place although
 * endpoints without limits are left. Their daemons' own shares are so small
 * that the end of a limit would go unnoticed for long, and the endpoint unused.
 */
export class LimitedTrials {
  readonly #options: LimitedTrialsOptions;
  readonly #triedAt = new Map<string, number>();

  constructor(options: LimitedTrialsOptions) {
    this.#options = options;
  }

  /** True now and then while the service has endpoints with limits. */
  take(service: string, now: number): boolean {
    const triedAt = this.#triedAt.get(service) ?? Number.NEGATIVE_INFINITY;
    if (now - triedAt < TRIAL_MILLISECONDS) return false;
    const { book, gate } = this.#options;
    const hasLimited = book.availableFor(service)
      .some((endpoint) => gate.limitOf(endpoint, now) !== undefined);
    if (hasLimited) this.#triedAt.set(service, now);
    return hasLimited;
  }
}
