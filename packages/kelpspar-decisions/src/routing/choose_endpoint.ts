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
 * Chooses where a call goes: by load among the candidates of the own zone, of
 * others when that is loaded or lost, and by cached prefix within a stated load
 * difference. Counting the call is left to `registry.callStarted`.
 */
export function chooseEndpoint(
  registry: EndpointRegistry,
  call: ChooseOptions,
): EndpointAddress | NoEndpoint {
  const pool = registry.candidates(call.service, call.model ?? "");
  const tiers = pool?.tiersFrom(call.zone) ?? [];
  const search = new CandidateSearch(call);
  const byLoad = chooseByLoad(tiers, { call, search });
  if (byLoad === undefined) return chooseAmongRest(tiers, search);
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
    const entry = search.drawBest(tier);
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
 * What goes wrong: something between the daemon and the endpoints forgets every
 * connection at once, so that all of them are suspect though all are well. Then
 * a suspect one is better than a refusal; while any other is merely full, it is
 * not, since its calls may hang.
 */
function chooseAmongRest(
  tiers: Tiers,
  search: CandidateSearch,
): EndpointAddress | NoEndpoint {
  if (search.sawFull) return ALL_FULL;
  if (!search.sawSuspect) return NO_ENDPOINT;
  for (const tier of tiers) {
    const entry = search.drawBest(tier, "suspect");
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
 * A prefix is looked for in the whole region, not in the own zone alone: a way
 * between zones takes milliseconds, reading a long prefix anew a hundred or
 * more. Kept to its zone, each daemon would fill its zone's few caches with
 * every prefix there is, and most calls would miss.
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
    const loadOfHolder = holder.utilizationAt(call.now);
    const isWorthIt = loadOfHolder <=
      byLoad.utilizationAt(call.now) + weights.affinityDifference;
    return isWorthIt ? holder : byLoad;
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
    if (!pool.isNear(call.zone, entry.address.availabilityZone)) continue;
    if (search.admit(entry) !== "open") continue;
    if (
      best === undefined || entry.scoreAt(call.now) < best.scoreAt(call.now)
    ) {
      best = entry;
    }
  }
  return best;
}
