import type {
  DaemonAddress,
  FleetDigest,
  Heartbeat,
} from "../../fleet/fleet_digest.ts";
import { expect } from "earl";
import { test } from "node:test";
import { FleetMembership } from "../../fleet/fleet_membership.ts";
import {
  daemonKey,
  isLaterSequence,
  packedLife,
  packHeartbeats,
  unpackHeartbeats,
} from "../../fleet/packed_heartbeats.ts";

function address(daemonId: string, cores = 0.5): DaemonAddress {
  return {
    daemonId,
    front: `${daemonId}:1`,
    peer: `${daemonId}:2`,
    zone: "a",
    cores,
  };
}

function heartbeat(
  daemonId: string,
  options: Partial<Heartbeat> = {},
): Heartbeat {
  return {
    daemonId,
    incarnation: "x",
    sequence: 1,
    isLeaving: false,
    isReady: true,
    isStoreFresh: true,
    ...options,
  };
}

function digest(
  daemonId: string,
  options: Partial<Heartbeat> = {},
  others: readonly Heartbeat[] = [],
): FleetDigest {
  return {
    self: address(daemonId),
    configurationVersion: 1,
    heartbeats: packHeartbeats(
      [heartbeat(daemonId, options), ...others].map((one) => ({
        ...one,
        key: daemonKey(one.daemonId),
        incarnation: packedLife(one.incarnation),
      })),
    ),
  };
}

function createMembership(): FleetMembership {
  return new FleetMembership({ self: address("d1"), incarnation: "me" });
}

function servingAt(
  membership: FleetMembership,
  now: number,
): readonly string[] {
  return membership.serving(now).map((one) => one.daemonId);
}

test("a daemon is known by heartbeats that others pass on", () => {
  const membership = createMembership();
  membership.heard(digest("d2", {}, [heartbeat("d3")]), 0);
  expect(servingAt(membership, 100)).toEqual(["d2"]);
  expect(membership.hasUnknownAddresses).toEqual(true);
  membership.learn(address("d3"), 10);
  expect(servingAt(membership, 100)).toEqual(["d2", "d3"]);
});

test("a heartbeat that doesn't move on is not life", () => {
  const membership = createMembership();
  membership.learn(address("d3"), 0);
  for (let now = 0; now < 4_000; now += 400) {
    const passedOn = heartbeat("d3", { sequence: 7 });
    membership.heard(digest("d2", { sequence: now }, [passedOn]), now);
  }
  expect(servingAt(membership, 4_000)).toEqual(["d2"]);
});

test("a life that ended is not taken up again from others", () => {
  // Symptom: a daemon that was restarted came and went in the directory.
  // Sequence: it told of its new life; a daemon that had not heard of it yet
  // passed on a heartbeat of the one before.
  // Cause: any other life than the known one was taken for the newer.
  const membership = createMembership();
  membership.heard(digest("d2", { incarnation: "old", sequence: 90 }), 0);
  membership.heard(digest("d2", { incarnation: "new", sequence: 1 }), 100);
  const late = heartbeat("d2", {
    incarnation: "old",
    sequence: 91,
    isLeaving: true,
  });
  membership.heard(digest("d3", {}, [late]), 200);
  expect([...servingAt(membership, 300)].sort()).toEqual(["d2", "d3"]);
});

test("a daemon that nothing listens for any more gets no callers", () => {
  const membership = createMembership();
  membership.heard(digest("d2"), 0);
  membership.doubt("d2:2", { isRefused: true, now: 10 });
  expect(servingAt(membership, 20)).toEqual([]);
  membership.heard(digest("d2", { sequence: 2 }), 30);
  expect(servingAt(membership, 40)).toEqual(["d2"]);
});

test("silent and leaving daemons get no callers", () => {
  const membership = createMembership();
  membership.heard(digest("d2"), 0);
  membership.heard(digest("d3", { isLeaving: true }), 0);
  expect(servingAt(membership, 500)).toEqual(["d2"]);
  expect(servingAt(membership, 3_000)).toEqual([]);
});

test("a late digest doesn't bring an older state back", () => {
  const membership = createMembership();
  membership.heard(digest("d2", { sequence: 5, isLeaving: true }), 0);
  membership.heard(digest("d2", { sequence: 4 }), 10);
  expect(servingAt(membership, 20)).toEqual([]);
});

test("who stood still doesn't take all others for dead", () => {
  // Symptom: a daemon that woke named only itself to callers.
  // Sequence: it stood still for five seconds; on waking each last digest was
  // five seconds old.
  // Cause: its own pause was counted as the others' silence.
  const membership = createMembership();
  membership.heard(digest("d2"), 0);
  membership.sweep(100);
  membership.sweep(5_100);
  expect(servingAt(membership, 5_200)).toEqual(["d2"]);
  membership.sweep(5_300);
  membership.sweep(5_900);
  membership.sweep(6_500);
  membership.sweep(7_000);
  expect(servingAt(membership, 7_000)).toEqual([]);
});

test("all daemons rank the coordinators alike, those cut off last", () => {
  const first = createMembership();
  const second = new FleetMembership({
    self: address("d2"),
    incarnation: "me",
  });
  const stale = { isStoreFresh: false };
  first.heard(digest("d2"), 0);
  first.heard(digest("d3", stale), 0);
  second.heard(digest("d1"), 0);
  second.heard(digest("d3", stale), 0);
  const own = { isLeaving: false, isReady: true, isStoreFresh: true };
  const ranked = first.ranked("stages", { own, now: 10 });
  expect(ranked).toEqual(second.ranked("stages", { own, now: 10 }));
  expect(ranked.at(-1)).toEqual("d3");
});

test("the daemon with the largest share of a processor comes first", () => {
  const membership = createMembership();
  membership.heard({ ...digest("d2"), self: address("d2", 1.3) }, 0);
  membership.heard(digest("d3"), 0);
  const own = { isLeaving: false, isReady: true, isStoreFresh: true };
  expect(membership.ranked("stages", { own, now: 10 })[0]).toEqual("d2");
});

test("heartbeats survive packing, and what is cut off is dropped", () => {
  const packed = ["d1", "edge-brest-12"].map((daemonId, index) => ({
    key: daemonKey(daemonId),
    incarnation: packedLife(`life ${index}`),
    sequence: 70_000 * (index + 1),
    isLeaving: index === 0,
    isReady: index === 1,
    isStoreFresh: true,
  }));
  const text = packHeartbeats(packed);
  expect(unpackHeartbeats(text)).toEqual(packed);
  expect(unpackHeartbeats(text.slice(0, -4))).toEqual(packed.slice(0, 1));
  expect(unpackHeartbeats("")).toEqual([]);
});

test("the names of a fleet of thousands don't collide", () => {
  const keys = Array.from(
    { length: 5_000 },
    (_, index) => daemonKey(`edge-zone-${index % 10}-${index}`),
  );
  expect(new Set(keys).size).toEqual(keys.length);
});

test("a heartbeat that was counted round is later", () => {
  // A daemon that runs for months would be taken for silent for the rest.
  expect(isLaterSequence(1, 2 ** 24 - 1)).toEqual(true);
  expect(isLaterSequence(2 ** 24 - 1, 1)).toEqual(false);
  expect(isLaterSequence(5, 5)).toEqual(false);
});

test("an answer holds what the asker lacks, and its own heartbeat", () => {
  // Load: digests of 195 daemons were 31 KB, five times a second in each
  // direction, and nearly all of it was known already.
  const [asked, asker] = ["d1", "d2"].map((daemonId) =>
    new FleetMembership({ self: address(daemonId), incarnation: "x" })
  );
  if (asked === undefined || asker === undefined) throw new Error("None");
  const own = { isLeaving: false, isReady: true, isStoreFresh: true };
  const options = { configurationVersion: 1, storeEra: undefined, now: 10 };
  for (let index = 3; index < 198; index++) {
    const told = digest(`d${index}`, { sequence: index });
    asked.heard(told, 0);
    if (index !== 50) asker.heard(told, 0);
  }
  asker.heard(digest("d60", { sequence: 900 }), 0);
  const question = asker.createDigest(own, options);
  asked.heard(question, 10);
  const answer = asked.createDigest(own, { ...options, asker: question });
  const keys = unpackHeartbeats(answer.heartbeats).map(({ key }) => key);
  expect(keys).toEqual([daemonKey("d1"), daemonKey("d50")]);
  expect(JSON.stringify(question).length <= 3_400).toEqual(true);
  expect(JSON.stringify(answer).length <= 200).toEqual(true);
  asker.heard(answer, 20);
  expect(asker.heardLately(20).length).toEqual(195);
  // It counts as soon as it is known where that daemon is.
  expect(asker.hasUnknownAddresses).toEqual(true);
  asker.learn(address("d50"), 30);
  expect(asker.heardLately(30).length).toEqual(196);
});
