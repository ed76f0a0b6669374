import type { Measurement, Subject } from "./measurement.ts";
import { DaemonMembership } from "kelpspar-decisions/membership";
import { assignWatches } from "kelpspar-decisions/routing";
import { sampleDaemons, sampleEndpoints } from "./samples.ts";

const FLEETS = [
  { daemons: 8, runners: 59 },
  { daemons: 34, runners: 250 },
  { daemons: 340, runners: 2_500 },
] as const;

/** How much of the fleet one daemon hears of by digests, on average. */
export function* measureReach(): Generator<Measurement> {
  for (const fleet of FLEETS) yield* measureFleet(fleet);
}

function* measureFleet(fleet: typeof FLEETS[number]): Generator<Measurement> {
  const subject = (name: string): Subject => ({
    role: "digest exchange",
    name,
    unit: "daemons",
    size: fleet.daemons,
  });
  const heard = listHeard(fleet.daemons);
  const known = listKnown(fleet);
  let daemons = 0;
  let runners = 0;
  for (const [self, others] of heard) {
    daemons += others.size;
    runners += countRunners(self, { others, known });
  }
  yield {
    ...subject("daemons heard by one, mean"),
    count: Math.round(daemons / heard.size),
  };
  yield {
    ...subject("runners whose load one knows, mean"),
    count: Math.round(runners / heard.size),
  };
}

/** Whom each daemon hears: an exchange tells both sides of each other. */
function listHeard(count: number): ReadonlyMap<string, Set<string>> {
  const rows = sampleDaemons(count);
  const heard = new Map(rows.map((row) => [row.daemonId, new Set<string>()]));
  for (const { daemonId, availabilityZone } of rows) {
    const membership = new DaemonMembership({ daemonId, availabilityZone });
    membership.replaceList(rows, 0);
    for (const target of membership.digestTargets()) {
      heard.get(daemonId)?.add(target.daemonId);
      heard.get(target.daemonId)?.add(daemonId);
    }
  }
  return heard;
}

interface KnownRunners {
  readonly asked: readonly string[];
  readonly published: readonly string[];
}

function listKnown(
  fleet: typeof FLEETS[number],
): ReadonlyMap<string, KnownRunners> {
  const daemons = sampleDaemons(fleet.daemons).map((row) => ({
    id: row.daemonId,
    availabilityZone: row.availabilityZone,
  }));
  const endpoints = sampleEndpoints(fleet.runners).map(({ address }) => ({
    id: address.endpointId,
    availabilityZone: address.availabilityZone,
  }));
  return new Map(daemons.map((self) => {
    const others = daemons.filter((one) => one !== self);
    const watches = assignWatches({ self, others, endpoints });
    return [self.id, {
      asked: watches.map((watch) => watch.endpointId),
      published: watches.filter((watch) => watch.publishes).map((watch) =>
        watch.endpointId
      ),
    }];
  }));
}

function countRunners(self: string, of: {
  readonly others: ReadonlySet<string>;
  readonly known: ReadonlyMap<string, KnownRunners>;
}): number {
  const runners = new Set(of.known.get(self)?.asked);
  for (const other of of.others) {
    for (const id of of.known.get(other)?.published ?? []) runners.add(id);
  }
  return runners.size;
}
