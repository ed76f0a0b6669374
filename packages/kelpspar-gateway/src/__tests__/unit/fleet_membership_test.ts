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
  packHeartbeats,
  packIncarnation,
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
    isIsolated: false,
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
        incarnation: packIncarnation(one.incarnation),
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

test("a daemon is live by heartbeats that others forward", () => {
  const membership = createMembership();
  membership.applyDigest(digest("d2", {}, [heartbeat("d3")]), 0);
  expect(servingAt(membership, 100)).toEqual(["d2"]);
  expect(membership.hasUnknownAddresses).toEqual(true);
  membership.add(address("d3"), 10);
  expect(servingAt(membership, 100)).toEqual(["d2", "d3"]);
});

test("a heartbeat without a new sequence doesn't prove liveness", () => {
  const membership = createMembership();
  membership.add(address("d3"), 0);
  for (let now = 0; now < 4_000; now += 400) {
    const forwarded = heartbeat("d3", { sequence: 7 });
    membership.applyDigest(digest("d2", { sequence: now }, [forwarded]), now);
  }
  expect(servingAt(membership, 4_000)).toEqual(["d2"]);
});

test("an ended incarnation never becomes current again", () => {
  // Guards against a restarted daemon that flaps in the directory: a daemon
  // that didn't know the new incarnation yet forwarded a heartbeat of the
  // previous one, and any incarnation other than the known one was taken for
  // newer.
  const membership = createMembership();
  membership.applyDigest(digest("d2", { incarnation: "old", sequence: 90 }), 0);
  membership.applyDigest(
    digest("d2", { incarnation: "new", sequence: 1 }),
    100,
  );
  const late = heartbeat("d2", {
    incarnation: "old",
    sequence: 91,
    isLeaving: true,
  });
  membership.applyDigest(digest("d3", {}, [late]), 200);
  expect([...servingAt(membership, 300)].sort()).toEqual(["d2", "d3"]);
});

test("a daemon that refuses connections gets no callers", () => {
  const membership = createMembership();
  membership.applyDigest(digest("d2"), 0);
  membership.reportFailedCall("d2:2", { isRefused: true, now: 10 });
  expect(servingAt(membership, 20)).toEqual([]);
  membership.applyDigest(digest("d2", { sequence: 2 }), 30);
  expect(servingAt(membership, 40)).toEqual(["d2"]);
});

test("silent and leaving daemons get no callers", () => {
  const membership = createMembership();
  membership.applyDigest(digest("d2"), 0);
  membership.applyDigest(digest("d3", { isLeaving: true }), 0);
  expect(servingAt(membership, 500)).toEqual(["d2"]);
  expect(servingAt(membership, 3_000)).toEqual([]);
});

test("a late digest doesn't restore an older state", () => {
  const membership = createMembership();
  membership.applyDigest(digest("d2", { sequence: 5, isLeaving: true }), 0);
  membership.applyDigest(digest("d2", { sequence: 4 }), 10);
  expect(servingAt(membership, 20)).toEqual([]);
});

test("a daemon that was paused doesn't take all others for dead", () => {
  // Guards against a resumed daemon that names only itself to callers: its
  // process was paused for five seconds, so that every last digest was five
  // seconds old, and its own pause counted as the others' silence.
  const membership = createMembership();
  membership.applyDigest(digest("d2"), 0);
  membership.removeExpired(100);
  membership.removeExpired(5_100);
  expect(servingAt(membership, 5_200)).toEqual(["d2"]);
  membership.removeExpired(5_300);
  membership.removeExpired(5_900);
  membership.removeExpired(6_500);
  membership.removeExpired(7_000);
  expect(servingAt(membership, 7_000)).toEqual([]);
});

test("all daemons rank the coordinators alike, those without a fresh store last", () => {
  const first = createMembership();
  const second = new FleetMembership({
    self: address("d2"),
    incarnation: "me",
  });
  const stale = { isStoreFresh: false };
  first.applyDigest(digest("d2"), 0);
  first.applyDigest(digest("d3", stale), 0);
  second.applyDigest(digest("d1"), 0);
  second.applyDigest(digest("d3", stale), 0);
  const own = {
    isLeaving: false,
    isReady: true,
    isStoreFresh: true,
    isIsolated: false,
  };
  const ranked = first.rankedDaemons("stages", { own, now: 10 });
  expect(ranked).toEqual(second.rankedDaemons("stages", { own, now: 10 }));
  expect(ranked.at(-1)).toEqual("d3");
});

test("the daemon with the most cores comes first", () => {
  const membership = createMembership();
  membership.applyDigest({ ...digest("d2"), self: address("d2", 1.3) }, 0);
  membership.applyDigest(digest("d3"), 0);
  const own = {
    isLeaving: false,
    isReady: true,
    isStoreFresh: true,
    isIsolated: false,
  };
  expect(membership.rankedDaemons("stages", { own, now: 10 })[0]).toEqual("d2");
});

test("a ranking changes with the states and cores of daemons", () => {
  // Guards against a ranking that is reused although it is outdated: chains
  // would go to a coordinator that is leaving.
  const membership = createMembership();
  const own = {
    isLeaving: false,
    isReady: true,
    isStoreFresh: true,
    isIsolated: false,
  };
  const first = (now: number): string | undefined =>
    membership.rankedDaemons("stages", { own, now })[0];
  membership.applyDigest({ ...digest("d2"), self: address("d2", 1.3) }, 0);
  expect(first(10)).toEqual("d2");
  membership.applyDigest({
    ...digest("d3", { sequence: 2 }),
    self: address("d3", 2),
  }, 100);
  expect(first(110)).toEqual("d3");
  membership.applyDigest(digest("d3", { sequence: 3 }), 200);
  expect(first(210)).toEqual("d2");
  membership.applyDigest({
    ...digest("d2", { sequence: 4, isLeaving: true }),
    self: address("d2", 1.3),
  }, 300);
  expect(first(310)).not.toEqual("d2");
});

test("heartbeats survive packing, and a truncated one is dropped", () => {
  const packed = ["d1", "edge-brest-12"].map((daemonId, index) => ({
    key: daemonKey(daemonId),
    incarnation: packIncarnation(`life ${index}`),
    sequence: 70_000 * (index + 1),
    isLeaving: index === 0,
    isReady: index === 1,
    isStoreFresh: true,
    isIsolated: index === 1,
  }));
  const text = packHeartbeats(packed);
  expect(unpackHeartbeats(text)).toEqual(packed);
  expect(unpackHeartbeats(text.slice(0, -4))).toEqual(packed.slice(0, 1));
  expect(unpackHeartbeats("")).toEqual([]);
});

test("the keys of a fleet of thousands don't collide", () => {
  const keys = Array.from(
    { length: 5_000 },
    (_, index) => daemonKey(`edge-zone-${index % 10}-${index}`),
  );
  expect(new Set(keys).size).toEqual(keys.length);
});

test("a heartbeat whose sequence wrapped around is later", () => {
  // Otherwise a daemon that runs for months would be taken for silent for good.
  expect(isLaterSequence(1, 2 ** 24 - 1)).toEqual(true);
  expect(isLaterSequence(2 ** 24 - 1, 1)).toEqual(false);
  expect(isLaterSequence(5, 5)).toEqual(false);
});

test("a response holds its sender's heartbeat and those that the requester lacks", () => {
  // Guards against traffic with large redundant digests: those of 195 daemons
  // were 31 KB, sent five times a second in each direction, and mostly known
  // already.
  const [server, client] = ["d1", "d2"].map((daemonId) =>
    new FleetMembership({ self: address(daemonId), incarnation: "x" })
  );
  if (server === undefined || client === undefined) throw new Error("None");
  const own = {
    isLeaving: false,
    isReady: true,
    isStoreFresh: true,
    isIsolated: false,
  };
  const options = { configurationVersion: 1, storeEra: undefined, now: 10 };
  for (let index = 3; index < 198; index++) {
    const told = digest(`d${index}`, { sequence: index });
    server.applyDigest(told, 0);
    if (index !== 50) client.applyDigest(told, 0);
  }
  client.applyDigest(digest("d60", { sequence: 900 }), 0);
  const question = client.createDigest(own, options);
  server.applyDigest(question, 10);
  const answer = server.createDigest(own, { ...options, asker: question });
  const keys = unpackHeartbeats(answer.heartbeats).map(({ key }) => key);
  expect(keys).toEqual([daemonKey("d1"), daemonKey("d50")]);
  expect(JSON.stringify(question).length <= 3_400).toEqual(true);
  expect(JSON.stringify(answer).length <= 200).toEqual(true);
  client.applyDigest(answer, 20);
  expect(client.liveMembers(20).length).toEqual(195);
  // The heartbeat counts as soon as the daemon's address is known.
  expect(client.hasUnknownAddresses).toEqual(true);
  client.add(address("d50"), 30);
  expect(client.liveMembers(30).length).toEqual(196);
});

// Guards against sending callers to daemons that end before others.
test("it is known since when a daemon leaves, until it starts again", () => {
  const membership = new FleetMembership({
    self: address("d1"),
    incarnation: "me",
  });
  const since = (now: number): readonly number[] =>
    membership.leaving(now).map((member) => member.since);
  membership.applyDigest(digest("d2", { sequence: 1 }), 0);
  expect(since(0)).toEqual([]);
  membership.applyDigest(digest("d2", { sequence: 2, isLeaving: true }), 100);
  membership.applyDigest(digest("d2", { sequence: 3, isLeaving: true }), 500);
  expect(since(500)).toEqual([100]);
  membership.applyDigest(digest("d2", { incarnation: "y" }), 900);
  expect(since(900)).toEqual([]);
  membership.applyDigest(
    digest("d2", { incarnation: "y", sequence: 2, isLeaving: true }),
    1_300,
  );
  expect(since(1_300)).toEqual([1_300]);
});
