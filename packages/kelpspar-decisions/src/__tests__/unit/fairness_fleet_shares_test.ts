import type { DemandDigest, FleetShares } from "../../fairness/mod.ts";
import { test } from "node:test";
import { expect } from "earl";
import fc from "fast-check";
import {
  computeFleetShares,
  EMPTY_DEMAND,
  findServiceDemand,
  FleetView,
  mergeDemand,
  SMALLEST_WEIGHT,
} from "../../fairness/mod.ts";

/** Account d has no share. */
const ACCOUNTS = ["a", "b", "c", "d"];
const SHARES = new Map([["a", 0.6], ["b", 0.25], ["c", 0.15]]);
const RUNS = { numRuns: 300, seed: 1 };
const row = fc.tuple(...ACCOUNTS.map(() => fc.nat({ max: 60 })));
const fleets = fc.array(row, { minLength: 1, maxLength: 12 });
const totals = fc.integer({ min: 1, max: 200 });

type Summary = Pick<DemandDigest, "daemons" | "services">;

function summaryOf(demands: readonly number[]): Summary {
  const accounts = ACCOUNTS.map((accountId, place) => {
    return { accountId, demand: demands[place] ?? 0, usageRate: 0 };
  });
  const service = { serviceId: "rank", capacitySeen: 8, accounts };
  return { daemons: 1, services: [service] };
}

/** Shares that each daemon of a fleet computes from the others' digests. */
function computeAllShares(
  fleet: readonly number[][],
  rest: { totalConcurrency: number; liveDaemons: number; floorShare: number },
): FleetShares[] {
  return fleet.map((own, place) => {
    const others = fleet.filter((_, other) => other !== place).map(summaryOf)
      .reduce(mergeDemand, EMPTY_DEMAND);
    const { accounts } = findServiceDemand(others, "rank");
    return computeFleetShares({
      ...rest,
      own: summaryOf(own).services[0]?.accounts ?? [],
      peers: { daemons: others.daemons, accounts },
      shares: SHARES,
    });
  });
}

/** Max-min shares by bisection: each account gets up to `level` x weight. */
function fill(
  demands: readonly number[],
  weights: readonly number[],
  total: number,
): number[] {
  const at = (level: number) =>
    demands.map((demand, place) => {
      return Math.min(demand, level * (weights[place] ?? 0));
    });
  let [low, high] = [0, 1e9];
  for (let turn = 0; turn < 200; turn++) {
    const level = (low + high) / 2;
    if (sum(at(level)) < total) low = level;
    else high = level;
  }
  return at(high);
}

function sum(numbers: readonly number[]): number {
  return numbers.reduce((one, other) => one + other, 0);
}

function isNear(one: number, other: number): boolean {
  return Math.abs(one - other) < 1e-4;
}

test("slices with local weights share the service like one queue", () => {
  fc.assert(
    fc.property(fleets, totals, (fleet, totalConcurrency) => {
      const rest = { liveDaemons: fleet.length, floorShare: 0 };
      const allocated = computeAllShares(fleet, { totalConcurrency, ...rest })
        .map(({ exactConcurrency, weights }, place) => {
          const local = ACCOUNTS.map((id) => weights.get(id) ?? 0);
          return fill(fleet[place] ?? [], local, exactConcurrency);
        });
      const demands = ACCOUNTS.map((_, place) => {
        return sum(fleet.map((own) => own[place] ?? 0));
      });
      const weights = ACCOUNTS.map((id) => SHARES.get(id) ?? SMALLEST_WEIGHT);
      fill(demands, weights, totalConcurrency).forEach((slots, place) => {
        const all = sum(allocated.map((own) => own[place] ?? 0));
        expect(isNear(slots, all)).toEqual(true);
      });
    }),
    RUNS,
  );
});

test("slices stay within the total, also during a network partition", () => {
  // Guards against overloaded endpoints during a network partition: daemons
  // receive digests only from their own side, and each side uses the whole
  // concurrency.
  fc.assert(
    fc.property(fleets, totals, fc.nat({ max: 12 }), (fleet, total, cut) => {
      const liveDaemons = fleet.length;
      const rest = { totalConcurrency: total, liveDaemons, floorShare: 0.1 };
      const sides = [fleet.slice(0, cut), fleet.slice(cut)]
        .map((side) => computeAllShares(side, rest));
      const exact = sides.flat().map((one) => one.exactConcurrency);
      const slots = sides.flat().map((one) => one.concurrency);
      const equal = total / liveDaemons;
      expect(isNear(sum(exact), total)).toEqual(true);
      expect(sum(slots) < total + liveDaemons).toEqual(true);
      expect(Math.min(...exact) > 0.0999 * equal).toEqual(true);
      for (const [alone, ...others] of sides) {
        if (alone === undefined || others.length > 0) continue;
        expect(isNear(alone.exactConcurrency, equal)).toEqual(true);
      }
    }),
    RUNS,
  );
});

test("digests merge in any order and grouping", () => {
  fc.assert(
    fc.property(fleets, fc.nat({ max: 12 }), (fleet, cut) => {
      const all = fleet.map(summaryOf);
      const late = all.slice(cut).reduceRight(mergeDemand, EMPTY_DEMAND);
      const early = all.slice(0, cut).reduce(mergeDemand, EMPTY_DEMAND);
      const merged = all.reduce(mergeDemand, EMPTY_DEMAND);
      expect(mergeDemand(late, early)).toEqual(merged);
    }),
    RUNS,
  );
});

test("late, repeated, old and duplicate digests are ignored", () => {
  const own = { incarnation: "own", availabilityZone: "north" };
  const view = new FleetView({ ...own, usesZoneDigests: true });
  const digest = { ...own, scope: "daemon", sequence: 7, daemons: 1 } as const;
  const accept = (change: Partial<DemandDigest>, now: number) =>
    view.accept({ ...digest, services: [], ...change }, now);
  const peer = { incarnation: "peer" };
  const south = { ...peer, availabilityZone: "south", daemons: 5 };
  expect(accept({}, 0)).toEqual(false);
  expect(accept(peer, 0)).toEqual(true);
  expect(accept(peer, 10)).toEqual(false);
  expect(accept({ ...south, scope: "zone" }, 2_000)).toEqual(true);
  expect(accept(south, 2_000)).toEqual(false);
  expect(accept({ ...peer, scope: "zone" }, 2_000)).toEqual(false);
  expect(view.zone({ daemons: 1, services: [] }, 2_000).daemons).toEqual(2);
  const daemonCounts = [3_000, 3_001, 5_001].map((now) =>
    view.peers(now).daemons
  );
  expect(daemonCounts).toEqual([6, 5, 0]);
});
