import type { CrashPage } from "kelpspar-decisions/quarantine";
import type { DaemonAddress } from "../../fleet/fleet_digest.ts";
import { expect } from "earl";
import { ManualTimer, SeededRandom } from "kelpspar-shared";
import { test } from "node:test";
import { EXCHANGE_INTERVAL_MILLISECONDS } from "../../fleet/fleet_gossip.ts";
import { Quarantine } from "../../quarantine/quarantine.ts";
import { QuarantineSync } from "../../quarantine/quarantine_sync.ts";

/** Within this time all connected daemons must know, milliseconds. */
const CONTACT_MILLISECONDS = 3_000;

interface Member {
  readonly peer: string;
  readonly quarantine: Quarantine;
  readonly sync: QuarantineSync;
}

/** Creates daemons that reach each other; calls fail while `isLost` is true. */
function createFleet(
  count: number,
  isLost: () => boolean,
  timer = new ManualTimer(),
): { readonly members: readonly Member[]; readonly calls: () => number } {
  const random = new SeededRandom(5);
  const byPeer = new Map<string, Member>();
  const addresses = Array.from({ length: count }, (_, at): DaemonAddress => ({
    daemonId: `d${at}`,
    front: `d${at}:1`,
    peer: `d${at}:2`,
    zone: "a",
    cores: 1,
  }));
  let calls = 0;
  const log = { info: () => {}, warn: () => {} };
  for (const { peer } of addresses) {
    const quarantine = new Quarantine({ timer, log });
    const sync = new QuarantineSync({
      quarantine,
      peers: {
        shareCrashes: (to: string, page: CrashPage): Promise<CrashPage> => {
          calls++;
          const other = byPeer.get(to);
          return other === undefined || isLost()
            ? Promise.reject(new Error("unreachable"))
            : Promise.resolve(other.sync.answer(page));
        },
      },
      membership: {
        contacts: () => addresses.filter((address) => address.peer !== peer),
      },
      random,
      log,
    });
    sync.register();
    byPeer.set(peer, { peer, quarantine, sync });
  }
  return { members: [...byPeer.values()], calls: () => calls };
}

async function settle(): Promise<void> {
  for (let turn = 0; turn < 50; turn++) await Promise.resolve();
}

/** Each daemon compares its checksum with another, as with digests. */
async function exchangeDigests(
  members: readonly Member[],
  random: SeededRandom,
): Promise<void> {
  for (const member of members) {
    const other = members[random.nextInteger(members.length)] as Member;
    member.sync.told(other.peer, other.sync.checksum);
    other.sync.told(member.peer, member.sync.checksum);
  }
  await settle();
}

/** Counts rounds of digests until all daemons quarantine the request. */
async function countRoundsUntilQuarantined(
  members: readonly Member[],
): Promise<number> {
  const random = new SeededRandom(9);
  for (const [index, crash] of ["1", "2", "3"].entries()) {
    members[index % members.length]?.quarantine.reportCrash({
      fingerprint: "p",
      crash,
      ranMilliseconds: 90,
    });
    await settle();
  }
  const haveAllQuarantined = (): boolean =>
    members.every(({ quarantine }) => quarantine.has("p"));
  for (let rounds = 0;; rounds++) {
    if (haveAllQuarantined() || rounds === 50) return rounds;
    await exchangeDigests(members, random);
  }
}

// Guards against daemons that send a poison request because they don't know
// of its crashes.
test("all daemons know of crashes within the contact time", async () => {
  for (const count of [2, 8, 195]) {
    for (const lossShare of [0, 0.3]) {
      const lossRandom = new SeededRandom(3);
      const { members } = createFleet(
        count,
        () => lossRandom.next() < lossShare,
      );
      const rounds = await countRoundsUntilQuarantined(members);
      expect(rounds * EXCHANGE_INTERVAL_MILLISECONDS < CONTACT_MILLISECONDS)
        .toEqual(true);
    }
  }
});

// Guards against crash reports that are relayed forever.
test("daemons with the same reports don't call each other", async () => {
  const { members, calls } = createFleet(40, () => false);
  await countRoundsUntilQuarantined(members);
  const before = calls();
  await exchangeDigests(members, new SeededRandom(4));
  expect(calls()).toEqual(before);
});

// Guards against daemons that send a part that crashes endpoints because they
// don't know of its crashes, or keep holding a sound one.
test("all daemons hold a part 1 s after its third crash, and no sound one", async () => {
  for (const count of [61, 195, 340]) {
    for (const lossShare of [0, 0.3]) {
      const timer = new ManualTimer();
      const random = new SeededRandom(count);
      const { members } = createFleet(
        count,
        () => random.next() < lossShare,
        timer,
      );
      const pick = (): Quarantine =>
        (members[random.nextInteger(count)] as Member).quarantine;
      for (let number = 1; number <= 3; number++) {
        pick().reportCrash({
          fingerprint: `f${number}`,
          crash: `c${number}`,
          ranMilliseconds: 50,
          wroteMilliseconds: 50,
          parts: ["common", "p"],
          software: "model v1",
        });
        await timer.advance(EXCHANGE_INTERVAL_MILLISECONDS);
        await exchangeDigests(members, random);
        const answer = { software: "model v1", beganAt: timer.now() - 1 };
        pick().answered({ ...answer, parts: ["common"] });
        await timer.advance(EXCHANGE_INTERVAL_MILLISECONDS);
        await exchangeDigests(members, random);
      }
      const held = members.filter(({ quarantine }) =>
        quarantine.find({ fingerprint: "", parts: ["common", "p"] })
      );
      expect(held.length).toEqual(count);
      const soundHeld = members.filter(({ quarantine }) =>
        quarantine.find({ fingerprint: "", parts: ["common", "other"] })
      );
      expect(soundHeld.length).toEqual(0);
    }
  }
});
