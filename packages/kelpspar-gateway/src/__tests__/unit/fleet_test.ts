import type { DaemonAddress, FleetDigest } from "../../fleet/fleet_digest.ts";
import type { PeerClient } from "../../fleet/peer_client.ts";
import { expect } from "earl";
import { ManualTimer, SeededRandom } from "kelpspar-shared";
import { test } from "node:test";
import { ActiveConfiguration } from "../../configuration/active_configuration.ts";
import {
  EXCHANGE_INTERVAL_MILLISECONDS,
  FleetGossip,
} from "../../fleet/fleet_gossip.ts";
import { FleetMembership } from "../../fleet/fleet_membership.ts";
import { GossipPartners } from "../../fleet/gossip_partners.ts";
import { StoreEra } from "../../tables/store_era.ts";

function address(daemonId: string): DaemonAddress {
  return {
    daemonId,
    front: `${daemonId}:1`,
    peer: `${daemonId}:2`,
    zone: "a",
    cores: 0.3,
  };
}

/** A daemon that knows `others` addresses, and the peers that it contacted. */
function createFleet(
  others: number,
  /** Calls fail if there are seeds, and remain unanswered otherwise. */
  options: {
    readonly seeds?: readonly string[];
    readonly isReadingTables?: () => boolean;
    readonly isLeaving?: () => boolean;
  } = {},
): {
  readonly fleet: FleetGossip;
  readonly timer: ManualTimer;
  readonly peers: readonly string[];
  readonly contacted: string[];
  /** Digests that were sent. */
  readonly digests: FleetDigest[];
  /** Peers that were asked for their configuration. */
  readonly fetchedFrom: string[];
} {
  const timer = new ManualTimer();
  const membership = new FleetMembership({
    self: address("d0"),
    incarnation: "me",
  });
  const addresses = Array.from(
    { length: others },
    (_, index) => address(`d${index + 1}`),
  );
  for (const one of addresses) membership.add(one, timer.now());
  const contacted: string[] = [];
  const digests: FleetDigest[] = [];
  const fetchedFrom: string[] = [];
  const client: Pick<PeerClient, "exchange" | "configuration"> = {
    configuration: (peer) => {
      fetchedFrom.push(peer);
      return Promise.resolve(null);
    },
    exchange(peer: string, digest: FleetDigest): Promise<FleetDigest> {
      contacted.push(peer);
      digests.push(digest);
      return options.seeds === undefined
        ? new Promise(() => {})
        : Promise.reject(new Error("refused"));
    },
  };
  const fleet = new FleetGossip({
    self: address("d0"),
    seeds: options.seeds ?? [],
    membership,
    peers: client as PeerClient,
    configuration: new ActiveConfiguration(),
    crashes: { checksum: undefined, told: () => {} },
    notices: { checksum: undefined, told: () => {} },
    speeds: { checksum: undefined, told: () => {} },
    slowReports: { page: () => undefined, merge: () => {} },
    era: new StoreEra({ timer, anomalies: { note: () => {} } }),
    timer,
    log: { info: () => {}, warn: () => {} },
    random: new SeededRandom(7),
    storeAge: () => 0,
    isIsolated: () => false,
    isLeaving: options.isLeaving ?? (() => false),
    isReadingTables: options.isReadingTables ?? (() => false),
  });
  const peers = addresses.map(({ peer }) => peer);
  return { fleet, timer, peers, contacted, digests, fetchedFrom };
}

test("a daemon that starts in a large fleet contacts a few peers", () => {
  // Guards against a rolling restart of 64 daemons that exceeds its processor
  // time: each starting daemon read 63 rows and contacted all others, and each
  // of them read its row and contacted it, so that exchanges grew with the
  // square of the fleet's size.
  const { fleet, peers, contacted } = createFleet(72);
  fleet.exchangeWithSome(peers);
  expect(contacted.length > 0).toEqual(true);
  expect(contacted.length <= 16).toEqual(true);
});

test("a daemon that leaves a large fleet contacts a few peers", () => {
  const { fleet, contacted } = createFleet(72);
  fleet.announceState();
  expect(contacted.length > 0).toEqual(true);
  expect(contacted.length <= 16).toEqual(true);
});

// Guards against callers that are sent to a leaving daemon until its next
// heartbeat.
test("others learn at once that a daemon leaves", async () => {
  let isLeaving = false;
  const { fleet, timer, peers, digests } = createFleet(1, {
    seeds: [],
    isLeaving: () => isLeaving,
  });
  const other = new FleetMembership({ self: address("d1"), incarnation: "o" });
  const hear = (): readonly boolean[] => {
    for (const digest of digests.splice(0)) other.applyDigest(digest, 0);
    return other.liveMembers(0).map(({ heartbeat }) => heartbeat.isLeaving);
  };
  fleet.exchangeWithAll(peers);
  expect(hear()).toEqual([false]);
  await timer.settle();
  isLeaving = true;
  fleet.announceState();
  expect(hear()).toEqual([true]);
});

test("a daemon in a small fleet contacts all peers", () => {
  const { fleet, peers, contacted } = createFleet(7);
  fleet.exchangeWithSome(peers);
  expect(contacted).toEqual([...peers]);
});

test("a daemon that knows no other contacts its seeds again", async () => {
  // Guards against a daemon that stays alone during a store outage because its
  // seeds started after it.
  const { fleet, timer, contacted } = createFleet(0, { seeds: ["d1:2"] });
  const stop = fleet.register();
  fleet.contactSeeds();
  await timer.advance(4_500);
  expect(contacted).toEqual(["d1:2", "d1:2", "d1:2"]);
  stop();
});

test("the configuration isn't fetched from a peer while the store sends it", () => {
  // Guards against transfers of the same 600 KB that compete for a slow link:
  // on 39 of 61 daemons that started together 79 fetches timed out, and most of
  // these daemons served nobody for two seconds.
  let isReading = true;
  const { fleet, fetchedFrom } = createFleet(0, {
    isReadingTables: () => isReading,
  });
  const digest = {
    self: address("d1"),
    configurationVersion: 3,
    heartbeats: "",
  };
  fleet.exchange(digest);
  expect(fetchedFrom).toEqual([]);
  // The read has failed: the store doesn't answer.
  isReading = false;
  fleet.exchange(digest);
  expect(fetchedFrom).toEqual(["d1:2"]);
});

/** Parameters of a simulated large fleet. */
interface GossipSimulation {
  readonly count: number;
  readonly rounds: number;
  /** Number of daemons, the first ones, that die halfway. */
  readonly dying: number;
  readonly seed: number;
}

/** Simulates a fleet; returns how often a live daemon was taken for silent. */
function simulateGossip(
  { count, rounds, dying, seed }: GossipSimulation,
): number {
  const own = {
    isLeaving: false,
    isReady: true,
    isStoreFresh: true,
    isIsolated: false,
  };
  const random = new SeededRandom(seed);
  const ids = Array.from({ length: count }, (_, at) => `d${at}`);
  const daemons = ids.map((daemonId) => ({
    daemonId,
    membership: new FleetMembership({
      self: address(daemonId),
      incarnation: "x",
    }),
    rounds: new GossipPartners({ daemonId, random }),
  }));
  const byId = new Map(daemons.map((one) => [one.daemonId, one.membership]));
  for (const { membership } of daemons) {
    for (const id of ids) membership.add(address(id), 0);
  }
  const digestOf = (member: FleetMembership, now: number): FleetDigest =>
    member.createDigest(own, {
      configurationVersion: 1,
      storeEra: undefined,
      now,
    });
  let missed = 0;
  for (let round = 0; round < rounds; round++) {
    const now = round * EXCHANGE_INTERVAL_MILLISECONDS;
    const dead = round < rounds / 2 ? 0 : dying;
    const living = daemons.slice(dead);
    const livingIds = new Set(living.map((one) => one.daemonId));
    for (const { membership, rounds: partners } of living) {
      membership.advanceHeartbeat();
      for (let tries = 0; tries < 3; tries++) {
        const partner = partners.next({
          likelyReachable: membership.likelyReachable(now),
          contacts: membership.contacts(),
        });
        if (partner === undefined) break;
        if (livingIds.has(partner.daemonId)) {
          const peer = byId.get(partner.daemonId) as FleetMembership;
          peer.applyDigest(digestOf(membership, now), now);
          membership.applyDigest(digestOf(peer, now), now);
          break;
        }
        membership.reportFailedCall(partner.peer, {
          isRefused: true,
          now,
        });
      }
    }
    if (round < 15) continue;
    // Worst case: just before the next round.
    const late = now + EXCHANGE_INTERVAL_MILLISECONDS - 1;
    for (const { membership } of living) {
      const ranked = membership.rankedDaemons("stages", { own, now: late });
      missed += living.length - ranked.filter((id) => livingIds.has(id)).length;
    }
  }
  return missed;
}

test("no live daemon of a large fleet is taken for silent", () => {
  // Guards against daemons that drop live ones from the addresses for callers
  // and take the coordinator of stages for dead: each starts a few exchanges a
  // round, heartbeats reach the rest only by forwarding, and fewer exchanges
  // are made than the heartbeat timeouts assume.
  expect(simulateGossip({ count: 73, rounds: 150, dying: 0, seed: 11 }))
    .toEqual(0);
  expect(simulateGossip({ count: 195, rounds: 60, dying: 0, seed: 12 }))
    .toEqual(0);
});

// Guards against a partner graph that becomes disconnected as daemons die.
test("no live daemon is taken for silent when a third of a large fleet dies", () => {
  for (const seed of [1, 2, 3]) {
    const simulation = { count: 85, rounds: 100, dying: 28, seed };
    expect(simulateGossip(simulation)).toEqual(0);
  }
});
