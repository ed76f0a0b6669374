import type { EndpointStatus } from "../routing/mod.ts";
import type { NewestStatements, Sequenced } from "./newest_merge.ts";

/** The load of one model (empty for plain services) in one zone. */
export interface ModelLoad {
  readonly service: string;
  readonly model: string;
  readonly endpoints: number;
  readonly running: number;
  readonly waiting: number;
  readonly concurrency: number;
}

/** What a daemon tells other zones of its own. */
export interface ZoneAggregate extends Sequenced {
  readonly availabilityZone: string;
  readonly loads: readonly ModelLoad[];
}

/** Sums the endpoints of a zone that take calls, by service and model. */
export function sumModelLoads(
  endpoints: readonly EndpointStatus[],
  availabilityZone: string,
): readonly ModelLoad[] {
  const sums = new Map<string, ModelLoad>();
  for (const { address, leavingBy, report } of endpoints) {
    if (address.availabilityZone !== availabilityZone) continue;
    if (leavingBy.length > 0 || report?.state !== "ready") continue;
    for (const model of ["", ...Object.keys(report.models)]) {
      const key = `${address.service}/${model}`;
      const sum = sums.get(key);
      sums.set(key, {
        service: address.service,
        model,
        endpoints: (sum?.endpoints ?? 0) + 1,
        running: (sum?.running ?? 0) + report.running,
        waiting: (sum?.waiting ?? 0) + report.waiting,
        concurrency: (sum?.concurrency ?? 0) + report.concurrency,
      });
    }
  }
  return [...sums.values()];
}

/**
 * One aggregate for each zone. All daemons of a zone sum the same endpoints, so
 * their aggregates are alternatives and are never added up; the one that saw
 * most endpoints is taken.
 */
export function chooseZoneAggregates(
  aggregates: NewestStatements<ZoneAggregate>,
): ReadonlyMap<string, ZoneAggregate> {
  const chosen = new Map<string, ZoneAggregate>();
  for (const aggregate of aggregates.values()) {
    const known = chosen.get(aggregate.availabilityZone);
    if (
      known !== undefined && endpointsSeen(known) >= endpointsSeen(aggregate)
    ) {
      continue;
    }
    chosen.set(aggregate.availabilityZone, aggregate);
  }
  return chosen;
}

function endpointsSeen(aggregate: ZoneAggregate): number {
  return aggregate.loads.reduce((sum, load) => sum + load.endpoints, 0);
}
