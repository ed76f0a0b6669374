import type { CandidatePool } from "./candidate_pool.ts";
import type { ChooseOptions, NoEndpoint } from "./choose_options.ts";
import type { EndpointEntry } from "./endpoint_entry.ts";
import type { EndpointRegistry } from "./endpoint_registry.ts";
import type { EndpointAddress } from "kelpspar-shared";
import { chooseByPrefix } from "./bounded_load_choice.ts";
import { CandidateSearch } from "./candidate_search.ts";
import { DEFAULT_CHOICE_WEIGHTS } from "./choose_options.ts";

const NO_ENDPOINT: NoEndpoint = { none: "no_endpoint" };
const ALL_FULL: NoEndpoint = { none: "all_full" };

type Tiers = readonly (readonly EndpointEntry[])[];

/**
 * Chooses the endpoint for a call: by load among the candidates of the local
 * zone, of other zones when that one is loaded or lost, and by cached prefix
 * within a bounded load difference. `registry.callStarted` counts the call.
 */
export function chooseEndpoint(
  registry: EndpointRegistry,
  call: ChooseOptions,
): EndpointAddress | NoEndpoint {
  const pool = registry.candidates(call.service, call.model ?? "");
  const tiers = pool?.tiersFrom(call.zone) ?? [];
  const search = new CandidateSearch(call);
  const byLoad = chooseByLoad(tiers, { call, search });
  if (byLoad === undefined) return chooseSuspectOrNone(tiers, search);
  if (call.prefixHash === undefined || pool === undefined) {
    return byLoad.address;
  }
  const preferred = chooseForPrefix(registry, {
    call,
    search,
    byLoad,
    prefixHash: call.prefixHash,
    pool,
  });
  return preferred.address;
}

interface SearchOptions {
  readonly call: ChooseOptions;
  readonly search: CandidateSearch;
}

function chooseByLoad(
  tiers: Tiers,
  { call, search }: SearchOptions,
): EndpointEntry | undefined {
  const weights = call.weights ?? DEFAULT_CHOICE_WEIGHTS;
  let best: EndpointEntry | undefined;
  let bestLoad = Number.POSITIVE_INFINITY;
  for (const tier of tiers) {
    const entry = search.pickLessLoaded(tier);
    if (entry === undefined) continue;
    const load = entry.utilizationAt(call.now);
    if (load + weights.spillDifference < bestLoad) {
      best = entry;
      bestLoad = load;
    }
    if (bestLoad < weights.spillUtilization) return best;
  }
  return best;
}

/**
 * A network device between the daemon and the endpoints may drop the state of
 * all connections at once, which makes healthy endpoints suspect. A suspect
 * endpoint is then better than rejecting the call. While another endpoint is
 * merely full it is not, because calls to a suspect endpoint may hang.
 */
function chooseSuspectOrNone(
  tiers: Tiers,
  search: CandidateSearch,
): EndpointAddress | NoEndpoint {
  if (search.sawFull) return ALL_FULL;
  if (!search.sawSuspect) return NO_ENDPOINT;
  for (const tier of tiers) {
    const entry = search.pickLessLoaded(tier, "suspect");
    if (entry !== undefined) return entry.address;
  }
  return NO_ENDPOINT;
}

interface PrefixSearchOptions extends SearchOptions {
  readonly byLoad: EndpointEntry;
  readonly prefixHash: string;
  readonly pool: CandidatePool;
}

/**
 * Searches for a prefix in the whole region rather than in the local zone: a
 * hop between zones takes milliseconds, a prefill of a long prefix a hundred or
 * more. Restricted to the local zone, daemons would fill its few caches with
 * every prefix in use, and most calls would miss.
 */
function chooseForPrefix(
  registry: EndpointRegistry,
  options: PrefixSearchOptions,
): EndpointEntry {
  const { call, search, byLoad, prefixHash, pool } = options;
  const weights = call.weights ?? DEFAULT_CHOICE_WEIGHTS;
  const holders = call.prefixes?.holders(prefixHash) ?? [];
  const holder = leastLoadedHolder(registry, { call, search, holders, pool });
  if (holder !== undefined) {
    const holderLoad = holder.utilizationAt(call.now);
    const isWithinDifference = holderLoad <=
      byLoad.utilizationAt(call.now) + weights.affinityDifference;
    return isWithinDifference ? holder : byLoad;
  }
  return chooseByPrefix(pool.inRegionOf(call.zone), {
    prefixHash,
    weights,
    now: call.now,
    search,
  }) ?? byLoad;
}

function leastLoadedHolder(
  registry: EndpointRegistry,
  options: SearchOptions & {
    readonly holders: readonly string[];
    readonly pool: CandidatePool;
  },
): EndpointEntry | undefined {
  const { call, search, holders, pool } = options;
  let best: EndpointEntry | undefined;
  for (const endpointId of holders) {
    const entry = registry.entryOf(endpointId);
    if (entry === undefined || !entry.pools.includes(pool)) continue;
    if (!pool.isSameRegion(call.zone, entry.address.availabilityZone)) continue;
    if (search.availabilityOf(entry) !== "open") continue;
    if (
      best === undefined || entry.scoreAt(call.now) < best.scoreAt(call.now)
    ) {
      best = entry;
    }
  }
  return best;
}
