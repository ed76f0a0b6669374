import type { EndpointStatus } from "../routing/mod.ts";
import type { NewestStatements, Sequenced } from "./newest_merge.ts";

/** Load of one model (empty for plain services) in one zone. */
export interface ModelLoad {
  readonly service: string;
  readonly model: string;
  readonly endpoints: number;
  readonly running: number;
  readonly waiting: number;
  readonly concurrency: number;
}

/** Summary of a daemon's zone that is sent to other zones. */
export interface ZoneAggregate extends Sequenced {
  readonly availabilityZone: string;
  readonly loads: readonly ModelLoad[];
}

/**
 * Sums the loads of a zone's endpoints that accept calls, by service and model.
 */
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
 * Chooses one aggregate per zone. All daemons of a zone sum the same endpoints,
 * so their aggregates are alternatives and are never added up; the aggregate
 * that covers the most endpoints is chosen.
 */
export function chooseZoneAggregates(
  aggregates: NewestStatements<ZoneAggregate>,
): ReadonlyMap<string, ZoneAggregate> {
  const chosen = new Map<string, ZoneAggregate>();
  for (const aggregate of aggregates.values()) {
    const known = chosen.get(aggregate.availabilityZone);
    if (
      known !== undefined && countEndpoints(known) >= countEndpoints(aggregate)
    ) {
      continue;
    }
    chosen.set(aggregate.availabilityZone, aggregate);
  }
  return chosen;
}

function countEndpoints(aggregate: ZoneAggregate): number {
  return aggregate.loads.reduce((sum, load) => sum + load.endpoints, 0);
}
