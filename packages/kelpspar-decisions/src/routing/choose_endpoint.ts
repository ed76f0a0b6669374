import type { ChooseOptions, NoEndpoint } from "./choose_options.ts";
import type { EndpointEntry } from "./endpoint_entry.ts";
import type { EndpointRegistry } from "./endpoint_registry.ts";
import type { EndpointAddress } from "kelpspar-shared";
import { chooseByPrefix } from "./bounded_load_choice.ts";
import { CandidateSearch } from "./candidate_search.ts";
import { poolKeyOf } from "./candidate_pools.ts";
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
  if (call.prefixHash === undefined) return byLoad.address;
  const preferred = chooseForPrefix(registry, {
    call,
    search,
    byLoad,
    prefixHash: call.prefixHash,
    tiers,
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
  readonly tiers: Tiers;
}

function chooseForPrefix(
  registry: EndpointRegistry,
  options: PrefixSearchOptions,
): EndpointEntry {
  const { call, search, byLoad, prefixHash, tiers } = options;
  const weights = call.weights ?? DEFAULT_CHOICE_WEIGHTS;
  const holders = call.prefixes?.holders(prefixHash) ?? [];
  const holder = leastLoadedHolder(registry, { call, search, holders });
  if (holder !== undefined) {
    const loadOfHolder = holder.utilizationAt(call.now);
    const isWorthIt = loadOfHolder <=
      byLoad.utilizationAt(call.now) + weights.affinityDifference;
    return isWorthIt ? holder : byLoad;
  }
  const tier = tiers.find((candidates) => candidates.includes(byLoad)) ?? [];
  return chooseByPrefix(tier, {
    prefixHash,
    weights,
    now: call.now,
    search,
  }) ?? byLoad;
}

function leastLoadedHolder(
  registry: EndpointRegistry,
  options: SearchOptions & { readonly holders: readonly string[] },
): EndpointEntry | undefined {
  const { call, search, holders } = options;
  const key = poolKeyOf(call.service, call.model);
  let best: EndpointEntry | undefined;
  for (const endpointId of holders) {
    const entry = registry.entryOf(endpointId);
    if (entry?.address.availabilityZone !== call.zone) continue;
    if (!entry.pools.some((pool) => pool.key === key)) continue;
    if (search.admit(entry) !== "open") continue;
    if (
      best === undefined || entry.scoreAt(call.now) < best.scoreAt(call.now)
    ) {
      best = entry;
    }
  }
  return best;
}
