import type {
  ReaderCandidate,
  ReadingPlan,
} from "../../tables/reading_plan.ts";
import { expect } from "earl";
import { test } from "node:test";
import { planReading } from "../../tables/reading_plan.ts";
import { relayTimes } from "../../tables/relay_times.ts";

function fleet(
  daemons: number,
  zones: number,
  rejected: readonly number[] = [],
): readonly ReaderCandidate[] {
  return Array.from({ length: daemons }, (_, index) => ({
    address: {
      daemonId: `d${index}`,
      front: "",
      peer: "",
      zone: `z${index % zones}`,
      cores: 0.3,
    },
    isStoreFresh: !rejected.includes(index),
  }));
}

/** Intervals of a site whose drain limit is four seconds. */
const INTERVALS = { directMilliseconds: 2_200, readerMilliseconds: 2_000 };

function planOf(
  all: readonly ReaderCandidate[],
  { address }: ReaderCandidate,
): ReadingPlan {
  const others = all.filter((candidate) => candidate.address !== address);
  return planReading({ self: address, others, intervals: INTERVALS });
}

function readersOf(all: readonly ReaderCandidate[]): readonly string[] {
  return all.filter((candidate) => planOf(all, candidate).isReader).map((
    { address },
  ) => address.daemonId);
}

test("the number of readers per zone doesn't grow with the fleet", () => {
  // Guards against store calls that grow with the fleet: 195 daemons made 8,775
  // on a day without load.
  expect(readersOf(fleet(195, 5)).length).toEqual(10);
  expect(readersOf(fleet(340, 10)).length).toEqual(20);
  expect(readersOf(fleet(90, 3)).length).toEqual(9);
});

test("in a fleet of eight each daemon reads for itself", () => {
  expect(readersOf(fleet(8, 3)).length).toEqual(8);
  expect(readersOf(fleet(6, 3)).length).toEqual(6);
  expect(readersOf(fleet(1, 1)).length).toEqual(1);
});

test("tables are shared only where that saves calls", () => {
  // Guards against more calls than without sharing: a fleet of 18 made 1,038
  // instead of 804, because each of its ten readers polled three times as often
  // as a daemon that reads for itself.
  const shortIntervals = { directMilliseconds: 1_375, readerMilliseconds: 500 };
  const plan = (daemons: number): ReadingPlan => {
    const [first, ...others] = fleet(daemons, 5);
    if (first === undefined) throw new Error("No daemon");
    return planReading({
      self: first.address,
      others,
      intervals: shortIntervals,
    });
  };
  expect(plan(18)).toEqual({ isShared: false, isReader: true, sources: [] });
  expect(plan(195).isShared).toEqual(true);
});

test("a daemon that the store rejects is not followed", () => {
  const all = fleet(40, 2);
  const [first] = readersOf(all);
  const rejectedIndex = Number(first?.slice(1));
  const others = fleet(40, 2, [rejectedIndex]);
  const follower = others[(rejectedIndex + 2) % 40];
  if (follower === undefined) throw new Error("No daemon");
  const { sources } = planOf(others, follower);
  expect(sources.some(({ daemonId }) => daemonId === first)).toEqual(false);
});

test("daemons prefer readers of their zone and spread over them", () => {
  const all = fleet(195, 5);
  const firsts = new Map<string, number>();
  for (const candidate of all) {
    const [first] = planOf(all, candidate).sources;
    if (first === undefined) throw new Error("No source");
    expect(first.zone).toEqual(candidate.address.zone);
    firsts.set(first.daemonId, (firsts.get(first.daemonId) ?? 0) + 1);
  }
  // 39 daemons of a zone follow two readers.
  expect(Math.max(...firsts.values()) <= 30).toEqual(true);
});

test("all waits of a relayed list end before the drain limit", () => {
  const sendMilliseconds = 250;
  for (const drainMilliseconds of [2_600, 3_000, 4_000, 8_000]) {
    const times = relayTimes({ drainMilliseconds, sendMilliseconds });
    if (times === undefined) throw new Error("No time to relay");
    const ownCall = times.fallbackJitterMilliseconds +
      times.callTimeoutMilliseconds;
    const readerDisconnected = times.pollIntervalMilliseconds +
      times.waitMilliseconds +
      times.callTimeoutMilliseconds;
    const readerStalled = times.followWaitMilliseconds +
      times.followTimeoutMilliseconds;
    for (const detection of [readerDisconnected, readerStalled]) {
      expect(detection + ownCall + sendMilliseconds < drainMilliseconds)
        .toEqual(true);
    }
    // A reader answers its followers after each answer of the store.
    const cycle = times.pollIntervalMilliseconds + times.waitMilliseconds;
    expect(cycle < times.followWaitMilliseconds).toEqual(true);
  }
  expect(relayTimes({ drainMilliseconds: 2_000, sendMilliseconds }))
    .toEqual(undefined);
});
