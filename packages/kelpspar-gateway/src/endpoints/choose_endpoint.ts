import type { RandomSource } from "kelpspar-shared";
import type { EndpointState } from "./endpoint_state.ts";
import { preferSound } from "./prefer_healthy.ts";
import { RendezvousNodes } from "kelpspar-decisions/routing";

/**
 * How much fuller than the average an endpoint may be and still get the
 * requests whose prompt it holds. Beyond it reading the prompt again elsewhere
 * costs less than waiting.
 */
const AFFINITY_LOAD_BOUND = 1.6;
/** Requests that an endpoint may hold whatever the average says. */
const AFFINITY_LOAD_FLOOR = 6;
/** Slowness from which an endpoint loses its affinity. */
const AFFINITY_SLOWNESS = 2;
/** What a call across zones costs beside its time, as a share of a call. */
const FAR_ZONE_COST = 0.15;

/** What a choice is made from. */
export interface ChooseEndpointOptions {
  readonly endpoints: readonly EndpointState[];
  /** Ids that were tried already. */
  readonly tried: ReadonlySet<string>;
  readonly zone: string;
  /** Requests with the same text go to the same endpoint if it has room. */
  readonly affinity: string | undefined;
  readonly random: RandomSource;
  readonly now: number;
  /** False for a cold endpoint that has got all that it may for now. */
  readonly isOpen: (endpoint: EndpointState) => boolean;
}

/** The endpoint chosen, and the one that has the prompt if it is another. */
export interface EndpointChoice {
  readonly endpoint: EndpointState;
  /** Chosen by the coordinator, not by this daemon. */
  readonly isPlaced?: boolean;
  readonly home: EndpointState | undefined;
}

/** Chooses the endpoint of a request; undefined when none is left to try. */
export function chooseEndpoint(
  options: ChooseEndpointOptions,
): EndpointChoice | undefined {
  const untried = options.endpoints.filter((one) =>
    !options.tried.has(one.entry.id) && options.isOpen(one)
  );
  const candidates = preferSound(untried, options.now);
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
  const byId = new Map(candidates.map((one) => [one.entry.id, one]));
  const ranked = new RendezvousNodes(byId.keys())
    .best(affinity, candidates.length)
    .map((id) => byId.get(id) as EndpointState);
  const inFlight = candidates.reduce((sum, one) => sum + one.inFlight, 0);
  const bound = Math.max(
    AFFINITY_LOAD_FLOOR,
    AFFINITY_LOAD_BOUND * inFlight / candidates.length,
  );
  const home = ranked[0] as EndpointState;
  const endpoint =
    ranked.find((one) =>
      one.inFlight < bound && one.slowness(options.now) < AFFINITY_SLOWNESS
    ) ?? chooseLeastLoaded(candidates, options);
  return { endpoint, home: endpoint === home ? undefined : home };
}

function chooseLeastLoaded(
  candidates: readonly EndpointState[],
  options: ChooseEndpointOptions,
): EndpointState {
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
  const far = entry.zone === options.zone ? 0 : FAR_ZONE_COST;
  return load * state.slowness(options.now) + far;
}
