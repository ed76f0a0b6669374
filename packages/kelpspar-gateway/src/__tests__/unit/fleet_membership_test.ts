import type { DaemonAddress, FleetDigest } from "../../fleet/fleet_digest.ts";
import { expect } from "earl";
import { test } from "node:test";
import { FleetMembership } from "../../fleet/fleet_membership.ts";

function address(daemonId: string): DaemonAddress {
  return { daemonId, front: `${daemonId}:1`, peer: `${daemonId}:2`, zone: "a" };
}

function digest(
  daemonId: string,
  options: Partial<FleetDigest> = {},
): FleetDigest {
  return {
    ...address(daemonId),
    incarnation: "x",
    sequence: 1,
    isLeaving: false,
    isReady: true,
    configurationVersion: 1,
    storeAgeMilliseconds: 100,
    known: [],
    ...options,
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

test("a daemon that is only heard of gets no callers", () => {
  const membership = createMembership();
  membership.heard(digest("d2", { known: [address("d3")] }), 0);
  expect(servingAt(membership, 100)).toEqual(["d2"]);
  expect(membership.contacts().map((one) => one.daemonId).sort())
    .toEqual(["d2", "d3"]);
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
  expect(membership.heard(digest("d2", { sequence: 4 }), 10)).toEqual(false);
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
  const stale = { storeAgeMilliseconds: 9_000 };
  first.heard(digest("d2"), 0);
  first.heard(digest("d3", stale), 0);
  second.heard(digest("d1"), 0);
  second.heard(digest("d3", stale), 0);
  const options = { now: 10, ownStoreAge: 100, isLeaving: false };
  const ranked = first.ranked("stages", options);
  expect(ranked).toEqual(second.ranked("stages", options));
  expect(ranked.at(-1)).toEqual("d3");
});
