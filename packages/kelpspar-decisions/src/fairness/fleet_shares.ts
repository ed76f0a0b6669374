import type { AccountDemand } from "./demand_digest.ts";
import { normalizeWeights, SMALLEST_WEIGHT } from "./account_weights.ts";
import { fillByWeight } from "./water_filling.ts";

const DEFAULT_FLOOR_SHARE = 0.1;
/** Keeps rounding errors from costing a whole slot. */
const ROUNDING = 1e-9;

/** What a daemon knows of one service's use by the fleet. */
export interface FleetSharesInput {
  /** Calls that the service runs at a time, for all daemons together. */
  readonly totalConcurrency: number;
  /** Daemons known to live, this one included, silent ones too. */
  readonly liveDaemons: number;
  /** What this daemon's accounts ask of the service. */
  readonly own: readonly AccountDemand[];
  /** What the peers heard lately ask of it, merged, and how many they are. */
  readonly peers: {
    readonly daemons: number;
    readonly accounts: readonly AccountDemand[];
  };
  /** The share of each account in the fleet. */
  readonly shares: ReadonlyMap<string, number>;
  /**
   * Part of the concurrency that is divided equally, so that a daemon has
   * room for a first call before the others hear of it; default 0.1.
   */
  readonly floorShare?: number;
}

/** One daemon's part of one service. */
export interface FleetShares {
  /** Calls this daemon may run at a time; `exactConcurrency` rounded up. */
  readonly concurrency: number;
  /** Adds up to `totalConcurrency` over daemons that see the same. */
  readonly exactConcurrency: number;
  /** The weight of each account in this daemon's queue. */
  readonly weights: ReadonlyMap<string, number>;
}

/**
 * Works out one daemon's slice of a service and its local weights, so that
 * shares hold for the fleet and not for each daemon: the fleet's concurrency
 * is shared among accounts by weight and demand, and each account's part among
 * daemons by where its calls are.
 *
 * Daemons with the same view take together at most `totalConcurrency` and,
 * by the rounding up, less than one slot more for each daemon. A live daemon
 * that is silent is left an equal slice, which is also what it takes when it
 * hears nobody, so that the sum holds too while the fleet is split in two.
 * While one side hears the other and is not heard, the sum can exceed the
 * total by the equal slices of the side that hears nothing.
 */
export function computeFleetShares(input: FleetSharesInput): FleetShares {
  const heard = 1 + input.peers.daemons;
  const live = Math.max(input.liveDaemons, heard);
  const pool = input.totalConcurrency * heard / live;
  const weights = normalizeWeights(input.shares);
  const fleet = addDemands(input.own, input.peers.accounts);
  const slots = fillByWeight([...fleet.values()], {
    total: pool,
    weightOf: (accountId) => weights.get(accountId) ?? SMALLEST_WEIGHT,
  });
  let unused = pool;
  for (const given of slots.values()) unused -= given;
  let byDemand = unused / heard;
  for (const { accountId, demand } of input.own) {
    const asked = fleet.get(accountId)?.demand ?? 0;
    if (asked > 0) byDemand += (slots.get(accountId) ?? 0) * demand / asked;
  }
  const floorShare = input.floorShare ?? DEFAULT_FLOOR_SHARE;
  const exact = floorShare * pool / heard + (1 - floorShare) * byDemand;
  return {
    concurrency: Math.max(0, Math.ceil(exact - ROUNDING)),
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
 * Share x (demand here / demand in the fleet). An account without calls here
 * gets an equal part, for the calls it may send before the next digest.
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
    const asked = options.fleet.get(accountId)?.demand ?? 0;
    const weight = options.weights.get(accountId) ?? SMALLEST_WEIGHT;
    if (demand > 0) local.set(accountId, weight * demand / asked);
  }
  return local;
}
