import type { Measurement, Subject } from "./measurement.ts";
import { DaemonMembership } from "kelpspar-decisions/membership";
import { assignWatches } from "kelpspar-decisions/routing";
import { sampleDaemons, sampleEndpoints } from "./samples.ts";

const FLEET_SIZES = [
  { daemons: 8, runners: 59 },
  { daemons: 34, runners: 250 },
  { daemons: 340, runners: 2_500 },
] as const;

/** Measures how much of the fleet a daemon learns of by digests, on average. */
export function* measureDigestCoverage(): Generator<Measurement> {
  for (const fleet of FLEET_SIZES) yield* measureFleet(fleet);
}

function* measureFleet(
  fleet: typeof FLEET_SIZES[number],
): Generator<Measurement> {
  const subject = (name: string): Subject => ({
    role: "digest exchange",
    name,
    unit: "daemons",
    size: fleet.daemons,
  });
  const peers = listDigestPeers(fleet.daemons);
  const watched = listWatchedRunners(fleet);
  let daemons = 0;
  let runners = 0;
  for (const [self, others] of peers) {
    daemons += others.size;
    runners += countKnownRunners(self, { others, watched });
  }
  yield {
    ...subject("daemons heard by one, mean"),
    count: Math.round(daemons / peers.size),
  };
  yield {
    ...subject("runners whose load one knows, mean"),
    count: Math.round(runners / peers.size),
  };
}

/**
 * The peers whose digests each daemon receives. An exchange passes digests in
 * both directions.
 */
function listDigestPeers(count: number): ReadonlyMap<string, Set<string>> {
  const rows = sampleDaemons(count);
  const peers = new Map(rows.map((row) => [row.daemonId, new Set<string>()]));
  for (const { daemonId, availabilityZone } of rows) {
    const membership = new DaemonMembership({ daemonId, availabilityZone });
    membership.replaceList(rows, 0);
    for (const target of membership.digestTargets()) {
      peers.get(daemonId)?.add(target.daemonId);
      peers.get(target.daemonId)?.add(daemonId);
    }
  }
  return peers;
}

interface WatchedRunners {
  readonly watched: readonly string[];
  readonly published: readonly string[];
}

function listWatchedRunners(
  fleet: typeof FLEET_SIZES[number],
): ReadonlyMap<string, WatchedRunners> {
  const daemons = sampleDaemons(fleet.daemons).map((row) => ({
    id: row.daemonId,
    availabilityZone: row.availabilityZone,
  }));
  const endpoints = sampleEndpoints(fleet.runners).map(({ address }) => ({
    id: address.endpointId,
    availabilityZone: address.availabilityZone,
  }));
  return new Map(daemons.map((self) => {
    const others = daemons.filter((daemon) => daemon !== self);
    const watches = assignWatches({ self, others, endpoints });
    return [self.id, {
      watched: watches.map((watch) => watch.endpointId),
      published: watches.filter((watch) => watch.publishes).map((watch) =>
        watch.endpointId
      ),
    }];
  }));
}

function countKnownRunners(self: string, fleet: {
  readonly others: ReadonlySet<string>;
  readonly watched: ReadonlyMap<string, WatchedRunners>;
}): number {
  const runners = new Set(fleet.watched.get(self)?.watched);
  for (const other of fleet.others) {
    for (const id of fleet.watched.get(other)?.published ?? []) runners.add(id);
  }
  return runners.size;
}
