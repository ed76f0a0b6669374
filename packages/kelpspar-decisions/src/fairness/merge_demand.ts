import type {
  AccountDemand,
  DemandSummary,
  ServiceDemand,
} from "./demand_digest.ts";

/** Empty summary. */
export const EMPTY_DEMAND: DemandSummary = { daemons: 0, services: [] };

/**
 * Merges the demand of two disjoint groups of daemons. The operation is
 * associative and commutative, so that digests may be merged by zone and in any
 * order. Demands are added; of two views of a service's capacity, the larger
 * one is kept.
 */
export function mergeDemand(
  first: DemandSummary,
  second: DemandSummary,
): DemandSummary {
  return {
    daemons: first.daemons + second.daemons,
    services: mergeSorted(first.services, second.services, {
      idOf: (service) => service.serviceId,
      combine: mergeService,
    }),
  };
}

/** Demand for one service in a summary. */
export function findServiceDemand(
  summary: DemandSummary,
  serviceId: string,
): ServiceDemand {
  return summary.services.find((service) => service.serviceId === serviceId) ??
    { serviceId, capacitySeen: 0, accounts: [] };
}

interface MergeOptions<Row> {
  readonly idOf: (row: Row) => string;
  readonly combine: (first: Row, second: Row) => Row;
}

function mergeService(
  first: ServiceDemand,
  second: ServiceDemand,
): ServiceDemand {
  return {
    serviceId: first.serviceId,
    capacitySeen: Math.max(first.capacitySeen, second.capacitySeen),
    accounts: mergeSorted(first.accounts, second.accounts, {
      idOf: (account) => account.accountId,
      combine: addAccount,
    }),
  };
}

function addAccount(
  first: AccountDemand,
  second: AccountDemand,
): AccountDemand {
  return {
    accountId: first.accountId,
    demand: first.demand + second.demand,
    usageRate: first.usageRate + second.usageRate,
  };
}

function mergeSorted<Row>(
  first: readonly Row[],
  second: readonly Row[],
  options: MergeOptions<Row>,
): Row[] {
  const rows = new Map<string, Row>();
  for (const row of [...first, ...second]) {
    const id = options.idOf(row);
    const known = rows.get(id);
    rows.set(id, known === undefined ? row : options.combine(known, row));
  }
  return [...rows.entries()].sort(([firstId], [secondId]) =>
    firstId < secondId ? -1 : 1
  )
    .map(([, row]) => row);
}
