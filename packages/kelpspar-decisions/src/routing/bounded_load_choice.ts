import type { CandidateSearch } from "./candidate_search.ts";
import type { ChoiceWeights } from "./choose_options.ts";
import type { EndpointEntry } from "./endpoint_entry.ts";
import { hashText, rendezvousScore } from "./rendezvous_hash.ts";

/** Inputs for placing a prefix. */
export interface BoundedLoadOptions {
  readonly prefixHash: string;
  readonly weights: ChoiceWeights;
  /** Monotonic milliseconds. */
  readonly now: number;
}

/**
 * Chooses the endpoint for a prefix that no endpoint has cached: the first in
 * the prefix's rendezvous order whose load is not far above the mean. All
 * daemons choose the same endpoint without coordination, so that the prefix is
 * cached once, and a hot prefix spreads no further than its load requires.
 *
 * Source: Mirrokni, Thorup and Zadimoghaddam, "Consistent hashing with bounded
 * loads", 2018.
 */
export function chooseByPrefix(
  candidates: readonly EndpointEntry[],
  options: BoundedLoadOptions & { readonly search: CandidateSearch },
): EndpointEntry | undefined {
  const { now, search } = options;
  const open = candidates.filter((entry) =>
    search.availabilityOf(entry) === "open"
  );
  let load = 1;
  let capacity = 0;
  for (const entry of open) {
    load += entry.load.level;
    capacity += entry.capacityAt(now);
  }
  const { boundedLoadFactor, ownPrefixUtilization } = options.weights;
  const bound = Math.max(
    boundedLoadFactor * load / capacity,
    ownPrefixUtilization,
  );
  const prefix = hashText(options.prefixHash);
  let best: EndpointEntry | undefined;
  let bestScore = -1;
  for (const entry of open) {
    const score = rendezvousScore(prefix, entry.hash);
    if (score <= bestScore) continue;
    const room = Math.ceil(bound * entry.capacityAt(now));
    if (entry.load.level + 1 > room) continue;
    best = entry;
    bestScore = score;
  }
  return best;
}
