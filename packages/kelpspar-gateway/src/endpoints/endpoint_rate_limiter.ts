import type { RandomSource } from "kelpspar-shared";
import type { ActiveConfiguration } from "../configuration/active_configuration.ts";
import type { ServiceDefinition } from "../configuration/service_definition.ts";
import type { EndpointLimits } from "./endpoint_limits.ts";
import type { EndpointState } from "./endpoint_state.ts";
import { SharedRateLimiter } from "kelpspar-decisions/routing";

/**
 * Role in which endpoints are chosen: by the coordinator for all daemons, or by
 * each daemon for its own requests.
 */
export type EndpointChooser = "coordinator" | "daemon";

/** Dependencies of `EndpointRateLimiter`. */
export interface EndpointRateLimiterOptions {
  readonly chooser: EndpointChooser;
  readonly configuration: Pick<ActiveConfiguration, "table">;
  readonly limits: Pick<EndpointLimits, "limitOf">;
  readonly random: RandomSource;
  /** Number of daemons that choose in this role, including this one. */
  readonly senderCount: () => number;
}

/** Kind of a service, which determines who chooses its endpoints. */
type ServiceKind = "model" | "plain" | "stage";

/**
 * Each role's share of an endpoint's limit. Requests to models are normally
 * placed by the coordinator, requests to plain services if all endpoints have
 * limits and occasionally otherwise, and only coordinators send to stage
 * endpoints. Two daemons may both act as coordinator: twice the coordinator's
 * share plus the daemons' share stays within one and a half times the limit.
 */
const ROLE_SHARES: Readonly<
  Record<ServiceKind, Readonly<Record<EndpointChooser, number>>>
> = {
  model: { coordinator: 0.5, daemon: 0.3 },
  plain: { coordinator: 0.5, daemon: 0.4 },
  stage: { coordinator: 0.75, daemon: 0 },
};
/**
 * Minimum rate even for an endpoint with a lower limit, because only its
 * responses show that the limit was lifted.
 */
const MINIMUM_REQUESTS_PER_SECOND = 0.2;

/**
 * Distributed rate limiter: decides whether an endpoint may get one more
 * request, so that all daemons together stay within its limit. The limit of a
 * cold endpoint comes from its service's configuration, any other is reported
 * by the endpoint.
 */
export class EndpointRateLimiter {
  readonly #options: EndpointRateLimiterOptions;
  readonly #rateLimiter: SharedRateLimiter;

  constructor(options: EndpointRateLimiterOptions) {
    this.#options = options;
    this.#rateLimiter = new SharedRateLimiter(options.random);
  }

  /**
   * Limit for all daemons together, requests per second; undefined for none.
   */
  limitOf(endpoint: EndpointState, now: number): number | undefined {
    const { configuration, limits } = this.#options;
    const { entry } = endpoint;
    const reported = limits.limitOf(entry);
    const cold = endpoint.isCold(now)
      ? configuration.table?.findService(entry.service)?.coldRequestsPerSecond
      : undefined;
    if (reported === undefined) return cold;
    return Math.max(
      MINIMUM_REQUESTS_PER_SECOND,
      Math.min(reported, cold ?? reported),
    );
  }

  /**
   * This daemon's share of the limit, requests per second; undefined for none.
   */
  rateOf(endpoint: EndpointState, now: number): number | undefined {
    const limit = this.limitOf(endpoint, now);
    if (limit === undefined) return undefined;
    return limit * this.#roleShare(endpoint) / this.#options.senderCount();
  }

  /** Whether the endpoint has no limit or may get a request now. */
  isWithinLimit(endpoint: EndpointState, now: number): boolean {
    return this.waitFor(endpoint, now) === 0;
  }

  /** Milliseconds until the endpoint may get a request; 0 if it may now. */
  waitFor(endpoint: EndpointState, now: number): number {
    const limit = this.limitOf(endpoint, now);
    if (limit === undefined) return 0;
    return this.#rateLimiter.delayFor(endpoint.entry.id, {
      perSecond: limit * this.#roleShare(endpoint),
      senders: this.#options.senderCount(),
      now,
    });
  }

  /** Records a request to the endpoint. */
  recordRequest(endpoint: EndpointState, now: number): void {
    if (this.limitOf(endpoint, now) === undefined) return;
    this.#rateLimiter.recordSent(endpoint.entry.id, now);
  }

  #roleShare({ entry }: EndpointState): number {
    const { configuration, chooser } = this.#options;
    const service = configuration.table?.findService(entry.service);
    return ROLE_SHARES[kindOf(service)][chooser];
  }
}

function kindOf(service: ServiceDefinition | undefined): ServiceKind {
  if (service?.pieces !== undefined) return "stage";
  return service?.engineSlots === undefined ? "plain" : "model";
}
