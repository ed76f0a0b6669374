import type { RandomSource } from "kelpspar-shared";
import type { ConfigurationKeeper } from "../configuration/configuration_keeper.ts";
import type { ServiceDefinition } from "../configuration/service_definition.ts";
import type { EndpointLimits } from "./endpoint_limits.ts";
import type { EndpointState } from "./endpoint_state.ts";
import { SharedRateLimiter } from "kelpspar-decisions/routing";

/**
 * Who chooses endpoints: the coordinator, which does so for all daemons, or
 * each daemon for its own requests.
 */
export type EndpointChooser = "coordinator" | "daemon";

/** What a gate works with. */
export interface EndpointGateOptions {
  readonly chooser: EndpointChooser;
  readonly configuration: Pick<ConfigurationKeeper, "table">;
  readonly limits: Pick<EndpointLimits, "of">;
  readonly random: RandomSource;
  /** Daemons that choose in this role, this one among them. */
  readonly sharers: () => number;
}

/** How requests to a service's endpoints are chosen for. */
type ServiceKind = "model" | "plain" | "stage";

/**
 * Of what an endpoint takes, the part of each role. Requests to models are
 * placed by the coordinator as a rule, plain ones where all endpoints have limits
 * and now and then beside, and only coordinators send to stage endpoints. Two
 * daemons may both take themselves for the coordinator: twice its part and once
 * that of all daemons stays within one and a half times what the endpoint takes.
 */
const ROLE_SHARES: Readonly<
  Record<ServiceKind, Readonly<Record<EndpointChooser, number>>>
> = {
  model: { coordinator: 0.5, daemon: 0.3 },
  plain: { coordinator: 0.5, daemon: 0.4 },
  stage: { coordinator: 0.75, daemon: 0 },
};
/**
 * An endpoint that takes less gets as much all the same, requests a second: its
 * answers are the only word of the end of its limit.
 */
const LEAST_PER_SECOND = 0.2;

/**
 * Decides whether an endpoint may get one more request, so that all daemons
 * together send it no more than it takes: a cold one by its service's
 * configuration, any other by the limit that it names.
 */
export class EndpointGate {
  readonly #options: EndpointGateOptions;
  readonly #pace: SharedRateLimiter;

  constructor(options: EndpointGateOptions) {
    this.#options = options;
    this.#pace = new SharedRateLimiter(options.random);
  }

  /** What all daemons together may send, requests a second, if limited. */
  limitOf(endpoint: EndpointState, now: number): number | undefined {
    const { configuration, limits } = this.#options;
    const { entry } = endpoint;
    const named = limits.of(entry);
    const cold = endpoint.isCold(now)
      ? configuration.table?.findService(entry.service)?.coldRequestsPerSecond
      : undefined;
    if (named === undefined) return cold;
    return Math.max(LEAST_PER_SECOND, Math.min(named, cold ?? named));
  }

  /** What this daemon may send in its role, requests a second, if limited. */
  rateOf(endpoint: EndpointState, now: number): number | undefined {
    const limit = this.limitOf(endpoint, now);
    if (limit === undefined) return undefined;
    return limit * this.#roleShare(endpoint) / this.#options.sharers();
  }

  /** True for endpoints without a limit, and for others within it. */
  isOpen(endpoint: EndpointState, now: number): boolean {
    return this.waitFor(endpoint, now) === 0;
  }

  /** Milliseconds until it may get one more request; 0 when it may now. */
  waitFor(endpoint: EndpointState, now: number): number {
    const limit = this.limitOf(endpoint, now);
    if (limit === undefined) return 0;
    return this.#pace.delayFor(endpoint.entry.id, {
      perSecond: limit * this.#roleShare(endpoint),
      senders: this.#options.sharers(),
      now,
    });
  }

  /** Notes that an endpoint was chosen. */
  chosen(endpoint: EndpointState, now: number): void {
    if (this.limitOf(endpoint, now) === undefined) return;
    this.#pace.recordSent(endpoint.entry.id, now);
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
