import { RendezvousNodes } from "./rendezvous_nodes.ts";

const DEFAULT_EVERYBODY_BELOW = 1_000;
const WATCHERS = 2;

/** A daemon or an endpoint, and its availability zone. */
export interface Placed {
  readonly id: string;
  readonly availabilityZone: string;
}

/** Who shares out the watching of whom. */
export interface WatchOptions {
  readonly self: Placed;
  /** The other daemons that work. */
  readonly others: readonly Placed[];
  readonly endpoints: readonly Placed[];
  /** Endpoints times daemons up to which everybody watches all; 1,000. */
  readonly everybodyBelow?: number;
}

/** An endpoint whose load reports this daemon fetches. */
export interface Watch {
  readonly endpointId: string;
  /**
   * True for the first of its watchers, which puts the load into its digests.
   * The second one keeps its own view fresh and takes over, by the next
   * assignment, when the first one is gone.
   */
  readonly publishes: boolean;
}

/**
 * The endpoints that this daemon watches. While there are few, everybody
 * watches all; beyond that each endpoint has two watchers among the daemons of
 * its zone, and the other daemons learn its load from digests. So what an
 * endpoint is asked does not grow with the fleet.
 */
export function assignWatches(options: WatchOptions): readonly Watch[] {
  const { self, others, endpoints } = options;
  const everybodyBelow = options.everybodyBelow ?? DEFAULT_EVERYBODY_BELOW;
  if (endpoints.length * (others.length + 1) <= everybodyBelow) {
    return endpoints.map(({ id }) => ({ endpointId: id, publishes: false }));
  }
  const daemons = [self, ...others];
  const all = new RendezvousNodes(daemons.map((one) => one.id));
  const byZone = groupByZone(daemons);
  const watches: Watch[] = [];
  for (const { id, availabilityZone } of endpoints) {
    const inZone = byZone.get(availabilityZone);
    if (inZone !== undefined && availabilityZone !== self.availabilityZone) {
      continue;
    }
    // A zone whose daemons are all gone is watched from the others.
    const watchers = (inZone ?? all).best(id, WATCHERS);
    const rank = watchers.indexOf(self.id);
    if (rank >= 0) watches.push({ endpointId: id, publishes: rank === 0 });
  }
  return watches;
}

function groupByZone(
  daemons: readonly Placed[],
): ReadonlyMap<string, RendezvousNodes> {
  const names = new Map<string, string[]>();
  for (const { id, availabilityZone } of daemons) {
    const known = names.get(availabilityZone);
    if (known === undefined) names.set(availabilityZone, [id]);
    else known.push(id);
  }
  return new Map(
    [...names].map(([zone, ids]) => [zone, new RendezvousNodes(ids)]),
  );
}
