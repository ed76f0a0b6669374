import type { DaemonDigest, ListedDaemon } from "../../membership/mod.ts";
import { test } from "node:test";
import { expect } from "earl";
import * as fc from "fast-check";
import {
  chooseZoneAggregates,
  collectNewest,
  DaemonMembership,
  digestInterval,
  estimateDigestBytes,
  mergeNewest,
  NO_ENDPOINT_LOADS,
  sumModelLoads,
} from "../../membership/mod.ts";
import { EndpointRegistry } from "../../routing/mod.ts";

function digestOf(
  daemonId: string,
  fields: Partial<DaemonDigest> = {},
): DaemonDigest {
  return {
    daemonId,
    incarnation: "p1",
    sequence: 1,
    address: "10.0.0.1",
    port: 7_000,
    peerPort: 7_001,
    availabilityZone: "a",
    state: "serving",
    keyEpoch: 1,
    revision: 1,
    spareShare: 0.5,
    loads: NO_ENDPOINT_LOADS,
    changedReports: [],
    suspectEndpoints: [],
    usage: { accountIds: [], costs: [] },
    ...fields,
  };
}

function rowOf(
  daemonId: string,
  fields: Partial<ListedDaemon> = {},
): ListedDaemon {
  const place = { address: "10.0.0.1", port: 7_000, availabilityZone: "a" };
  return { daemonId, incarnation: "v1", state: "live", ...place, ...fields };
}

function createMembership(): DaemonMembership {
  return new DaemonMembership({ daemonId: "self", availabilityZone: "a" });
}

function states(membership: DaemonMembership): Record<string, string> {
  const pairs = membership.members.map((one) => [one.daemonId, one.state]);
  return Object.fromEntries(pairs);
}

function sweepUntil(
  membership: DaemonMembership,
  from: number,
  to: number,
): void {
  for (let now = from; now <= to; now += 500) membership.sweep(now);
}

test("silence makes a daemon suspect, then gone; a digest makes it live again", () => {
  const membership = createMembership();
  membership.replaceList([rowOf("b"), rowOf("c")], 0);
  membership.receiveDigest(digestOf("b"), 0);
  sweepUntil(membership, 0, 4_000);
  expect(states(membership)).toEqual({ b: "live", c: "live" });
  membership.receiveDigest(digestOf("c"), 4_000);
  sweepUntil(membership, 4_500, 8_000);
  expect(states(membership)).toEqual({ b: "suspect", c: "live" });
  sweepUntil(membership, 8_500, 60_500);
  expect(states(membership)).toEqual({ b: "gone", c: "suspect" });
  expect(membership.receiveDigest(digestOf("b", { sequence: 1 }), 60_500))
    .toEqual(
      false,
    );
  membership.receiveDigest(digestOf("b", { sequence: 2 }), 60_500);
  membership.replaceList([rowOf("b")], 60_600);
  expect(states(membership)).toEqual({ b: "live", c: "gone" });
});

// Guards against routing callers to a leaving daemon: it announces that it is
// leaving, and its older digests and the lagging list arrive afterwards.
test("leaving takes effect immediately and is permanent for the incarnation", () => {
  const membership = createMembership();
  membership.replaceList([rowOf("b")], 0);
  membership.receiveDigest(digestOf("b", { sequence: 5 }), 1);
  membership.receiveDigest(digestOf("b", { sequence: 7, state: "leaving" }), 2);
  expect(states(membership)).toEqual({ b: "leaving" });
  membership.receiveDigest(digestOf("b", { sequence: 6 }), 3);
  membership.receiveDigest(digestOf("b", { sequence: 8 }), 4);
  membership.replaceList([rowOf("b")], 5);
  expect(states(membership)).toEqual({ b: "leaving" });
  membership.replaceList([rowOf("b", { incarnation: "v2" })], 6);
  membership.receiveDigest(digestOf("b", { incarnation: "p2" }), 7);
  expect(states(membership)).toEqual({ b: "live" });
  membership.receiveDigest(digestOf("b", { sequence: 9, state: "leaving" }), 8);
  expect(states(membership)).toEqual({ b: "live" });
});

// Guards against sending every caller to one daemon: its VM is paused for ten
// seconds, and on resume all other daemons look silent.
test("a daemon that was paused doesn't suspect the others", () => {
  const membership = createMembership();
  membership.replaceList([rowOf("b")], 0);
  membership.receiveDigest(digestOf("b"), 0);
  membership.sweep(500);
  membership.sweep(10_500);
  expect(states(membership)).toEqual({ b: "live" });
  sweepUntil(membership, 11_000, 15_000);
  expect(states(membership)).toEqual({ b: "suspect" });
});

// Guards against sending no digests to a daemon that the lagging list misses.
test("a daemon that sends digests is live, whether or not it is listed", () => {
  const membership = createMembership();
  membership.receiveDigest(digestOf("new"), 0);
  membership.replaceList([rowOf("b")], 100);
  membership.replaceList([], 200);
  expect(states(membership)).toEqual({ b: "gone", new: "live" });
  membership.receiveDigest(digestOf("b"), 300);
  expect(states(membership)).toEqual({ b: "live", new: "live" });
});

function membershipOf(count: number): DaemonMembership {
  const membership = createMembership();
  const rows = Array.from({ length: count }, (_, index) =>
    rowOf(`d${index}`, {
      availabilityZone: "abcdefghij"[index % 10] ?? "a",
    }));
  membership.replaceList(rows, 0);
  return membership;
}

// Guards against treating remote zones as failed although their daemons don't
// send digests to this one.
test("silence counts only where digests are expected", () => {
  const membership = membershipOf(339);
  sweepUntil(membership, 0, 10_000);
  const { d0, d1 } = states(membership);
  expect([d0, d1]).toEqual(["suspect", "live"]);
});

test("digests go to the own zone and two daemons of each other zone", (t) => {
  expect(membershipOf(10).digestTargets().length).toEqual(10);
  const targets = membershipOf(339).digestTargets();
  const own = targets.filter((one) => one.availabilityZone === "a");
  expect([own.length, targets.length]).toEqual([34, 34 + 18]);
  const fewer = new Set(
    membershipOf(338).digestTargets().map((one) => one.daemonId),
  );
  const moved = targets.filter((one) => !fewer.has(one.daemonId)).length;
  expect(moved <= 1).toEqual(true);
  const counts = { loads: 8, changedReports: 0, suspects: 1, accounts: 12 };
  const bytes = estimateDigestBytes(counts);
  const interval = digestInterval(counts, {
    targets: targets.length,
    bytesPerSecond: 7_500,
  });
  t.diagnostic(`${bytes} bytes a digest, one in ${interval} ms at 7,500 B/s`);
});

test("the estimate of a digest's bytes is within a tenth", () => {
  const column = (value: number): number[] => new Array(15).fill(value);
  const ids = (prefix: string): string[] => new Array(15).fill(prefix);
  const digest = digestOf("vm-0123456789ab", {
    incarnation: "0123456789abcdef",
    address: "10.100.100.100",
    availabilityZone: "ca-prairie-1a",
    loads: {
      endpointIds: ids("runner-1234"),
      sequences: column(40_000),
      running: column(12),
      waiting: column(3),
      accepted: column(100_000),
      agesMilliseconds: column(400),
    },
    suspectEndpoints: ["runner-1234"],
    usage: { accountIds: ids("account-123"), costs: column(123_456) },
  });
  const counts = { loads: 15, changedReports: 0, suspects: 1, accounts: 15 };
  const ratio = estimateDigestBytes(counts) / JSON.stringify(digest).length;
  expect(ratio > 0.9 && ratio < 1.1).toEqual(true);
});

test("merging is associative, commutative and idempotent", () => {
  const statement = fc.record({
    daemonId: fc.constantFrom("a", "b", "c"),
    incarnation: fc.constantFrom("1", "2"),
    sequence: fc.nat(4),
  });
  const collection = fc.array(statement, { maxLength: 8 }).map(collectNewest);
  const sorted = (merged: ReturnType<typeof collectNewest>): string[] =>
    [...merged.values()].map((one) => JSON.stringify(one)).sort();
  fc.assert(
    fc.property(collection, collection, collection, (a, b, c) => {
      const left = mergeNewest(mergeNewest(a, b), c);
      expect(sorted(left)).toEqual(sorted(mergeNewest(a, mergeNewest(b, c))));
      expect(sorted(left)).toEqual(sorted(mergeNewest(c, mergeNewest(b, a))));
      expect(sorted(mergeNewest(left, b))).toEqual(sorted(left));
    }),
    { seed: 2, numRuns: 1_000 },
  );
});

test("a zone's loads are summed once, and alternatives are not added", () => {
  const registry = new EndpointRegistry();
  const place = { address: "10.0.0.1", port: 1, checksFencing: false };
  const rows = ["a", "a", "a", "b"].map((availabilityZone, index) => ({
    state: index === 2 ? "leaving" as const : "live" as const,
    address: {
      endpointId: `e${index}`,
      incarnation: "v1",
      service: "s",
      availabilityZone,
      ...place,
    },
  }));
  registry.replaceList(rows, 0);
  const counts = { running: 3, waiting: 1, concurrency: 8, accepted: 9 };
  const kind = { queuedTokens: 0, adapters: [], role: "any" as const };
  for (const { address: { endpointId } } of rows) {
    const about = { incarnation: "p", sequence: 1, models: { m: "1" } };
    const report = { ...about, ...counts, ...kind, state: "ready" as const };
    registry.report({ endpointId, report, now: 0 });
  }
  const loads = sumModelLoads(registry.status(0), "a");
  const one = { service: "s", model: "m", endpoints: 2 };
  const sums = { running: 6, waiting: 2, concurrency: 16 };
  expect(loads).toEqual([{ ...one, model: "", ...sums }, { ...one, ...sums }]);
  const stated = { incarnation: "p", sequence: 1, availabilityZone: "a" };
  const aggregates = collectNewest([
    { daemonId: "d1", ...stated, loads: loads.slice(1) },
    { daemonId: "d2", ...stated, loads },
  ]);
  expect(chooseZoneAggregates(aggregates).get("a")?.daemonId).toEqual("d2");
});
