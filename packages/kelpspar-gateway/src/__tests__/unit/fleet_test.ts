import type { DaemonAddress, FleetDigest } from "../../fleet/fleet_digest.ts";
import type { PeerClient } from "../../fleet/peer_client.ts";
import { expect } from "earl";
import { ManualTimer, SeededRandom } from "kelpspar-shared";
import { test } from "node:test";
import { ActiveConfiguration } from "../../configuration/active_configuration.ts";
import { EXCHANGE_MILLISECONDS, Fleet } from "../../fleet/fleet_gossip.ts";
import { FleetMembership } from "../../fleet/fleet_membership.ts";
import { PartnerRounds } from "../../fleet/gossip_partners.ts";
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

/** A daemon that knows where `others` are, and whom it asked. */
function createFleet(others: number): {
  readonly fleet: Fleet;
  readonly peers: readonly string[];
  readonly asked: string[];
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
  for (const one of addresses) membership.learn(one, timer.now());
  const asked: string[] = [];
  const client: Pick<PeerClient, "exchange"> = {
    exchange(peer: string): Promise<FleetDigest> {
      asked.push(peer);
      return new Promise(() => {});
    },
  };
  const fleet = new Fleet({
    daemonId: "d0",
    membership,
    peers: client as PeerClient,
    configuration: new ActiveConfiguration(),
    crashes: { checksum: undefined, told: () => {} },
    notices: { checksum: undefined, told: () => {} },
    era: new StoreEra({ timer, anomalies: { note: () => {} } }),
    timer,
    log: { info: () => {}, warn: () => {} },
    random: new SeededRandom(7),
    storeAge: () => 0,
  });
  return { fleet, peers: addresses.map(({ peer }) => peer), asked };
}

test("a daemon that starts in a large fleet greets a few", () => {
  // Symptom: with 64 daemons restarted in turn the day took more processor
  // time than it may.
  // Sequence: each daemon that starts reads 63 rows of others and greets all;
  // each of these reads its row and greets it.
  // Cause: greetings grew with the square of the fleet.
  const { fleet, peers, asked } = createFleet(72);
  fleet.greetSome(peers);
  expect(asked.length > 0).toEqual(true);
  expect(asked.length <= 16).toEqual(true);
});

test("a daemon that leaves a large fleet tells a few", () => {
  const { fleet, asked } = createFleet(72);
  fleet.leave();
  expect(asked.length > 0).toEqual(true);
  expect(asked.length <= 16).toEqual(true);
});

test("in a small fleet all are greeted", () => {
  const { fleet, peers, asked } = createFleet(7);
  fleet.greetSome(peers);
  expect(asked).toEqual([...peers]);
});

/** How exchanges of a large fleet are played. */
interface GossipPlay {
  readonly count: number;
  readonly rounds: number;
  /** Daemons that die halfway; the first ones. */
  readonly dying: number;
  readonly seed: number;
}

/** Plays a fleet's rounds; gives how often living ones are taken for silent. */
function playGossip({ count, rounds, dying, seed }: GossipPlay): number {
  const own = { isLeaving: false, isReady: true, isStoreFresh: true };
  const random = new SeededRandom(seed);
  const ids = Array.from({ length: count }, (_, at) => `d${at}`);
  const daemons = ids.map((daemonId) => ({
    daemonId,
    membership: new FleetMembership({
      self: address(daemonId),
      incarnation: "x",
    }),
    rounds: new PartnerRounds({ daemonId, random }),
  }));
  const byId = new Map(daemons.map((one) => [one.daemonId, one.membership]));
  for (const { membership } of daemons) {
    for (const id of ids) membership.learn(address(id), 0);
  }
  const digestOf = (member: FleetMembership, now: number): FleetDigest =>
    member.createDigest(own, {
      configurationVersion: 1,
      storeEra: undefined,
      now,
    });
  let missed = 0;
  for (let round = 0; round < rounds; round++) {
    const now = round * EXCHANGE_MILLISECONDS;
    const dead = round < rounds / 2 ? 0 : dying;
    const living = daemons.slice(dead);
    const livingIds = new Set(living.map((one) => one.daemonId));
    for (const { membership, rounds: partners } of living) {
      membership.beat();
      for (let tries = 0; tries < 3; tries++) {
        const partner = partners.next({
          promising: membership.promising(now),
          contacts: membership.contacts(),
        });
        if (partner === undefined) break;
        if (livingIds.has(partner.daemonId)) {
          const peer = byId.get(partner.daemonId) as FleetMembership;
          peer.heard(digestOf(membership, now), now);
          membership.heard(digestOf(peer, now), now);
          break;
        }
        membership.doubt(partner.peer, { isRefused: true, now });
      }
    }
    if (round < 15) continue;
    // As late as can be: just before the next round.
    const late = now + EXCHANGE_MILLISECONDS - 1;
    for (const { membership } of living) {
      const ranked = membership.ranked("stages", { own, now: late });
      missed += living.length - ranked.filter((id) => livingIds.has(id)).length;
    }
  }
  return missed;
}

test("in a large fleet nobody that lives is taken for silent", () => {
  // Symptom: daemons drop living ones from the addresses that callers get, and
  // take the coordinator of stages for dead.
  // Sequence: each begins a few exchanges a round; heartbeats reach the rest
  // by hearsay only.
  // Cause: fewer exchanges than the silence limits were made for.
  expect(playGossip({ count: 73, rounds: 150, dying: 0, seed: 11 })).toEqual(0);
  expect(playGossip({ count: 195, rounds: 60, dying: 0, seed: 12 })).toEqual(0);
});

// Guards against a graph of partners that falls apart as daemons die.
test("in a large fleet a third of which dies nobody else is taken for silent", () => {
  for (const seed of [1, 2, 3]) {
    const play = { count: 85, rounds: 100, dying: 28, seed };
    expect(playGossip(play)).toEqual(0);
  }
});
