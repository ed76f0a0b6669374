import type { RandomSource } from "kelpspar-shared";
import type { CompletionChoice } from "../load/choose_by_completion.ts";
import type { EndpointState } from "./endpoint_state.ts";
import { preferHealthy } from "./prefer_healthy.ts";
import { RendezvousNodes } from "kelpspar-decisions/routing";
import { chooseByCompletion } from "../load/choose_by_completion.ts";
import { expectedCompletion } from "../load/expected_completion.ts";

/**
 * Ratio to the average load up to which an endpoint gets the requests whose
 * prompt it has cached. Above it, reading the prompt again at another endpoint
 * costs less than waiting.
 */
const AFFINITY_LOAD_FACTOR = 1.6;
/** Calls in flight that an endpoint may have regardless of the average load. */
const AFFINITY_MINIMUM_LOAD = 6;
/** Slowness from which an endpoint gets no requests by affinity. */
const AFFINITY_MAXIMUM_SLOWNESS = 2;
/** Extra cost of a call across zones, as a share of a call's cost. */
const CROSS_ZONE_COST = 0.15;

/** Inputs of `chooseEndpoint`. */
export interface ChooseEndpointOptions {
  readonly endpoints: readonly EndpointState[];
  /** Ids of endpoints that were already tried. */
  readonly tried: ReadonlySet<string>;
  readonly zone: string;
  /** Requests with the same key go to the same endpoint if it has capacity. */
  readonly affinity: string | undefined;
  readonly random: RandomSource;
  readonly now: number;
  /** False for an endpoint that has used up its rate limit for now. */
  readonly isWithinLimit: (endpoint: EndpointState) => boolean;
  /** How endpoints with reported load are chosen; only tests set it. */
  readonly completionChoice?: CompletionChoice;
}

/** The chosen endpoint, and the one with the cached prompt if it differs. */
export interface EndpointChoice {
  readonly endpoint: EndpointState;
  /** True if the coordinator chose it, not this daemon. */
  readonly isPlaced?: boolean;
  readonly home: EndpointState | undefined;
}

/** Chooses the endpoint of a request; undefined if none is left to try. */
export function chooseEndpoint(
  options: ChooseEndpointOptions,
): EndpointChoice | undefined {
  const untried = options.endpoints.filter((endpoint) =>
    !options.tried.has(endpoint.entry.id) && options.isWithinLimit(endpoint)
  );
  const candidates = preferHealthy(untried, options.now);
  if (candidates.length === 0) return undefined;
  return options.affinity === undefined
    ? { endpoint: chooseLeastLoaded(candidates, options), home: undefined }
    : chooseByAffinity(candidates, options.affinity, options);
}

function chooseByAffinity(
  candidates: readonly EndpointState[],
  affinity: string,
  options: ChooseEndpointOptions,
): EndpointChoice {
  const byId = new Map(
    candidates.map((endpoint) => [endpoint.entry.id, endpoint]),
  );
  const ranked = new RendezvousNodes(byId.keys())
    .best(affinity, candidates.length)
    .map((id) => byId.get(id) as EndpointState);
  const inFlight = candidates.reduce(
    (sum, endpoint) => sum + endpoint.inFlight,
    0,
  );
  const maximumInFlight = Math.max(
    AFFINITY_MINIMUM_LOAD,
    AFFINITY_LOAD_FACTOR * inFlight / candidates.length,
  );
  const home = ranked[0] as EndpointState;
  const endpoint =
    ranked.find((candidate) =>
      candidate.inFlight < maximumInFlight &&
      candidate.expectedSlowness(options.now) < AFFINITY_MAXIMUM_SLOWNESS
    ) ?? chooseLeastLoaded(candidates, options);
  return { endpoint, home: endpoint === home ? undefined : home };
}

function chooseLeastLoaded(
  candidates: readonly EndpointState[],
  options: ChooseEndpointOptions,
): EndpointState {
  if (candidates.some(({ load }) => load.isActive)) {
    return chooseByCompletion({
      candidates,
      completionOf: (candidate) => completionOf(candidate, options),
      random: options.random,
    }, options.completionChoice);
  }
  let best = candidates[0] as EndpointState;
  let bestCost = Number.POSITIVE_INFINITY;
  for (const candidate of candidates) {
    const cost = costOf(candidate, options) + options.random.next() * 0.05;
    if (cost < bestCost) [best, bestCost] = [candidate, cost];
  }
  return best;
}

function costOf(state: EndpointState, options: ChooseEndpointOptions): number {
  const { entry, inFlight } = state;
  const load = 1 + inFlight / Math.max(1, entry.slots);
  return load * state.slowness(options.now) + zoneCostOf(state, options);
}

/** Expected completion time, in times of a call, with the cost of the zone. */
function completionOf(
  state: EndpointState,
  options: ChooseEndpointOptions,
): number {
  const { load } = state;
  return zoneCostOf(state, options) + expectedCompletion({
    slowness: state.expectedSlowness(options.now),
    queue: load.expectedQueue(options.now),
    slots: load.slots,
  });
}

function zoneCostOf(
  { entry }: EndpointState,
  { zone }: ChooseEndpointOptions,
): number {
  return entry.zone === zone ? 0 : CROSS_ZONE_COST;
}
