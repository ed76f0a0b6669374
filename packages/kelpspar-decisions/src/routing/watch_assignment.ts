import { RendezvousNodes } from "./rendezvous_nodes.ts";

const DEFAULT_WATCH_ALL_LIMIT = 1_000;
const WATCHERS_PER_ENDPOINT = 2;

/** A daemon or an endpoint with its availability zone. */
export interface ZonedNode {
  readonly id: string;
  readonly availabilityZone: string;
}

/** Inputs of `assignWatches`. */
export interface WatchAssignmentOptions {
  readonly self: ZonedNode;
  /** The other serving daemons. */
  readonly others: readonly ZonedNode[];
  readonly endpoints: readonly ZonedNode[];
  /** Endpoints times daemons up to which all watch all; default 1,000. */
  readonly watchAllLimit?: number;
}

/** An endpoint whose load reports this daemon polls. */
export interface WatchAssignment {
  readonly endpointId: string;
  /**
   * True for the first watcher, which publishes the load in its digests. The
   * second one keeps its own view fresh and takes over at the next assignment
   * when the first one is gone.
   */
  readonly publishes: boolean;
}

/**
 * Assigns the endpoints that this daemon watches. In a small fleet each daemon
 * watches all endpoints; in a larger one each endpoint has two watchers among
 * the daemons of its zone, and the other daemons get its load from digests. The
 * polling load of an endpoint thus doesn't grow with the fleet.
 */
export function assignWatches(
  options: WatchAssignmentOptions,
): readonly WatchAssignment[] {
  const { self, others, endpoints } = options;
  const watchAllLimit = options.watchAllLimit ?? DEFAULT_WATCH_ALL_LIMIT;
  if (endpoints.length * (others.length + 1) <= watchAllLimit) {
    return endpoints.map(({ id }) => ({ endpointId: id, publishes: false }));
  }
  const daemons = [self, ...others];
  const all = new RendezvousNodes(daemons.map((daemon) => daemon.id));
  const byZone = groupByZone(daemons);
  const watches: WatchAssignment[] = [];
  for (const { id, availabilityZone } of endpoints) {
    const inZone = byZone.get(availabilityZone);
    if (inZone !== undefined && availabilityZone !== self.availabilityZone) {
      continue;
    }
    // Daemons of other zones watch a zone that has lost all of its daemons.
    const watchers = (inZone ?? all).best(id, WATCHERS_PER_ENDPOINT);
    const rank = watchers.indexOf(self.id);
    if (rank >= 0) watches.push({ endpointId: id, publishes: rank === 0 });
  }
  return watches;
}

function groupByZone(
  daemons: readonly ZonedNode[],
): ReadonlyMap<string, RendezvousNodes> {
  const names = new Map<string, string[]>();
  for (const { id, availabilityZone } of daemons) {
    const existing = names.get(availabilityZone);
    if (existing === undefined) names.set(availabilityZone, [id]);
    else existing.push(id);
  }
  return new Map(
    [...names].map(([zone, ids]) => [zone, new RendezvousNodes(ids)]),
  );
}
