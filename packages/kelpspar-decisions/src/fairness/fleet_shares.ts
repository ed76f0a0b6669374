import type { AccountDemand } from "./demand_digest.ts";
import { normalizeWeights, SMALLEST_WEIGHT } from "./account_weights.ts";
import { fillByWeight } from "./water_filling.ts";

const DEFAULT_FLOOR_SHARE = 0.1;
/** Prevents rounding errors from adding a whole slot. */
const ROUNDING_TOLERANCE = 1e-9;

/** A daemon's view of one service's use by the fleet. */
export interface FleetSharesInput {
  /** Concurrent calls of the service across all daemons. */
  readonly totalConcurrency: number;
  /** Number of live daemons, including this one and silent ones. */
  readonly liveDaemons: number;
  /** Demand of this daemon's accounts for the service. */
  readonly own: readonly AccountDemand[];
  /** Merged demand and number of the peers with recent digests. */
  readonly peers: {
    readonly daemons: number;
    readonly accounts: readonly AccountDemand[];
  };
  /** Share of each account in the fleet. */
  readonly shares: ReadonlyMap<string, number>;
  /**
   * Part of the concurrency that is divided equally, so that a daemon can run a
   * first call before the others receive its demand; default 0.1.
   */
  readonly floorShare?: number;
}

/** One daemon's slice of one service. */
export interface FleetShares {
  /** Concurrent calls allowed at this daemon; `exactConcurrency` rounded up. */
  readonly concurrency: number;
  /** Sums to `totalConcurrency` over daemons with the same view. */
  readonly exactConcurrency: number;
  /** Weight of each account in this daemon's queue. */
  readonly weights: ReadonlyMap<string, number>;
}

/**
 * Computes one daemon's slice of a service and its local weights, so that
 * shares hold for the fleet and not for each daemon: the fleet's concurrency is
 * shared among accounts by weight and demand, and each account's part among
 * daemons according to where its calls are.
 *
 * Daemons with the same view use at most `totalConcurrency` in total, plus less
 * than one slot per daemon due to rounding up. A live daemon that is silent is
 * allotted an equal slice, which is also the slice it takes when it receives no
 * digests, so that the total also holds during a network partition. If one side
 * receives the other's digests but not vice versa, the sum can exceed the total
 * by the equal slices of the side that receives nothing.
 */
export function computeFleetShares(input: FleetSharesInput): FleetShares {
  const reportingDaemons = 1 + input.peers.daemons;
  const live = Math.max(input.liveDaemons, reportingDaemons);
  const pool = input.totalConcurrency * reportingDaemons / live;
  const weights = normalizeWeights(input.shares);
  const fleet = addDemands(input.own, input.peers.accounts);
  const slots = fillByWeight([...fleet.values()], {
    total: pool,
    weightOf: (accountId) => weights.get(accountId) ?? SMALLEST_WEIGHT,
  });
  let unused = pool;
  for (const allocated of slots.values()) unused -= allocated;
  let byDemand = unused / reportingDaemons;
  for (const { accountId, demand } of input.own) {
    const total = fleet.get(accountId)?.demand ?? 0;
    if (total > 0) byDemand += (slots.get(accountId) ?? 0) * demand / total;
  }
  const floorShare = input.floorShare ?? DEFAULT_FLOOR_SHARE;
  const exact = floorShare * pool / reportingDaemons +
    (1 - floorShare) * byDemand;
  return {
    concurrency: Math.max(0, Math.ceil(exact - ROUNDING_TOLERANCE)),
    exactConcurrency: exact,
    weights: localWeights(input.own, { weights, fleet, live }),
  };
}

function addDemands(
  first: readonly AccountDemand[],
  second: readonly AccountDemand[],
): Map<string, AccountDemand> {
  const sums = new Map<string, AccountDemand>();
  for (const row of [...first, ...second]) {
    const demand = (sums.get(row.accountId)?.demand ?? 0) + row.demand;
    sums.set(row.accountId, { ...row, demand });
  }
  return sums;
}

/**
 * Share x (local demand / fleet demand). An account without local calls gets an
 * equal part, for calls it may send before the next digest.
 */
function localWeights(
  own: readonly AccountDemand[],
  options: {
    readonly weights: ReadonlyMap<string, number>;
    readonly fleet: ReadonlyMap<string, AccountDemand>;
    readonly live: number;
  },
): Map<string, number> {
  const local = new Map<string, number>();
  for (const [accountId, weight] of options.weights) {
    local.set(accountId, weight / options.live);
  }
  for (const { accountId, demand } of own) {
    const total = options.fleet.get(accountId)?.demand ?? 0;
    const weight = options.weights.get(accountId) ?? SMALLEST_WEIGHT;
    if (demand > 0) local.set(accountId, weight * demand / total);
  }
  return local;
}
