import type { EndpointRegistry, PrefixIndex } from "kelpspar-decisions/routing";
import type {
  EndpointAddress,
  RandomSource,
  TimerService,
} from "kelpspar-shared";
import type { PermitRequest } from "./permit_request.ts";
import type { NoEndpointReason } from "./service_dispatcher.ts";
import { chooseEndpoint } from "kelpspar-decisions/routing";

/** Options of `EndpointSelector`. */
export interface EndpointSelectorOptions {
  readonly registry: EndpointRegistry;
  readonly prefixes: PrefixIndex;
  readonly availabilityZone: string;
  readonly timer: TimerService;
  readonly random: RandomSource;
}

type Pool = NonNullable<ReturnType<EndpointRegistry["candidates"]>>;
type Tier = ReturnType<Pool["tiersFrom"]>[number];

/** Selects endpoints for calls and counts the candidates. */
export class EndpointSelector {
  readonly #options: EndpointSelectorOptions;

  constructor(options: EndpointSelectorOptions) {
    this.#options = options;
  }

  choose(request: PermitRequest): EndpointAddress | NoEndpointReason {
    const { registry, prefixes, timer, random } = this.#options;
    const { model, adapter, prefixHash } = request;
    const chosen = chooseEndpoint(registry, {
      service: request.service,
      ...(model === undefined ? {} : { model }),
      ...(adapter === undefined ? {} : { adapter }),
      ...(prefixHash === undefined ? {} : { prefixHash }),
      zone: this.#options.availabilityZone,
      now: timer.now(),
      random,
      exclude: request.exclude,
      prefixes,
    });
    return "none" in chosen ? chosen.none : chosen;
  }

  /** Total concurrency of a service's endpoints. */
  capacityOf(serviceId: string): number {
    const now = this.#options.timer.now();
    let capacity = 0;
    for (const tier of this.#tiersOf(serviceId, undefined)) {
      for (const entry of tier) capacity += entry.capacityAt(now);
    }
    return capacity;
  }

  count(serviceId: string, model: string | undefined): number {
    return this.#tiersOf(serviceId, model).reduce(
      (sum, tier) => sum + tier.length,
      0,
    );
  }

  #tiersOf(serviceId: string, model: string | undefined): readonly Tier[] {
    const { registry, availabilityZone } = this.#options;
    const pool = registry.candidates(serviceId, model ?? "");
    return pool?.tiersFrom(availabilityZone) ?? [];
  }
}
