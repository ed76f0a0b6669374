import type { RandomSource, TimerService } from "kelpspar-shared";
import type { ActiveConfiguration } from "../configuration/active_configuration.ts";
import type { NoticeSync } from "../endpoints/notice_sync.ts";
import type { GatewayLog } from "../log/gateway_log.ts";
import type { QuarantineSync } from "../quarantine/quarantine_sync.ts";
import type { StoreEra } from "../tables/store_era.ts";
import type { FleetDigest } from "./fleet_digest.ts";
import type { FleetMembership } from "./fleet_membership.ts";
import type { OwnState } from "./member_record.ts";
import type { PeerClient } from "./peer_client.ts";
import { isRefused } from "./is_connection_refused.ts";
import { PartnerRounds } from "./gossip_partners.ts";

/** How often digests are exchanged, milliseconds. */
export const EXCHANGE_MILLISECONDS = 400;
/**
 * Up to so many others, each pair exchanges every time. Beyond that each daemon
 * begins one exchange every time: heartbeats reach all in about log2 of the
 * fleet's size rounds, while a daemon's traffic doesn't grow with it.
 */
const MOST_DIRECT = 8;
/**
 * Partners tried in one round: when many daemons end at once, rounds spent on
 * them would leave living ones unheard.
 */
const PARTNER_TRIES = 3;
/**
 * A configuration that a peer has had for so long is fetched from it, ms. The
 * store tells all daemons within milliseconds as a rule.
 */
const BEHIND_MILLISECONDS = 350;
/** A store older than this makes a daemon's list of endpoints doubtful, ms. */
const STORE_STALE_MILLISECONDS = 3_500;

/** What a fleet works with. */
export interface FleetOptions {
  readonly daemonId: string;
  readonly membership: FleetMembership;
  readonly peers: PeerClient;
  readonly configuration: ActiveConfiguration;
  readonly era: StoreEra;
  readonly crashes: Pick<QuarantineSync, "checksum" | "told">;
  readonly notices: Pick<NoticeSync, "checksum" | "told">;
  readonly timer: TimerService;
  readonly log: GatewayLog;
  readonly random: RandomSource;
  readonly storeAge: () => number;
}

/** Keeps this daemon and the others in each other's sight. */
export class Fleet {
  readonly #options: FleetOptions;
  readonly #rounds: PartnerRounds;
  #isLeaving = false;
  readonly #busy = new Set<string>();
  /** What is being fetched from a peer. */
  readonly #fetching = new Set<string>();
  #heard = new Set<string>();
  /** Since when others have had a newer configuration. */
  #behindSince: number | undefined;

  constructor(options: FleetOptions) {
    this.#options = options;
    this.#rounds = new PartnerRounds(options);
  }

  get isLeaving(): boolean {
    return this.#isLeaving;
  }

  /** Tells others at once that this daemon takes no more callers. */
  leave(): void {
    this.#isLeaving = true;
    this.greetSome(
      this.#options.membership.contacts().map((one) => one.peer),
    );
  }

  /** Begins to exchange digests; returns the teardown. */
  register(): () => void {
    const { timer } = this.#options;
    return timer.registerInterval(() => {
      this.#sweep();
      this.#exchangeDue();
    }, EXCHANGE_MILLISECONDS);
  }

  /** Exchanges with daemons now: they are new, or must show that they live. */
  greet(peers: readonly string[]): void {
    for (const peer of new Set(peers)) {
      if (!this.#busy.has(peer)) void this.#exchangeWith(peer);
    }
  }

  /**
   * Exchanges now with all of these in a small fleet and with about
   * `MOST_DIRECT` of them in a large one; the others hear of it from those.
   * What goes wrong otherwise: a daemon that starts among 72 others is greeted
   * by all and greets all, which takes longer than its start, and in a rolling
   * restart of all daemons most of their time.
   */
  greetSome(peers: readonly string[]): void {
    const { membership, random } = this.#options;
    const share = MOST_DIRECT / Math.max(1, membership.contacts().length);
    this.greet(peers.filter(() => random.next() < share));
  }

  /** Answers another daemon's digest with this one's. */
  exchange(digest: FleetDigest): FleetDigest {
    this.#take(digest);
    return this.#digest(digest);
  }

  /** What this daemon says of itself. */
  get ownState(): OwnState {
    const { configuration, storeAge } = this.#options;
    return {
      isLeaving: this.#isLeaving,
      isReady: configuration.table !== undefined,
      isStoreFresh: storeAge() < STORE_STALE_MILLISECONDS,
    };
  }

  #digest(asker?: FleetDigest): FleetDigest {
    const { membership, configuration, era, crashes, notices, timer } =
      this.#options;
    return membership.createDigest(this.ownState, {
      configurationVersion: configuration.version,
      storeEra: era.current,
      crashChecksum: crashes.checksum,
      noticeChecksum: notices.checksum,
      ...(asker === undefined ? {} : { asker }),
      now: timer.now(),
    });
  }

  #take(digest: FleetDigest): void {
    const { membership, timer, configuration } = this.#options;
    membership.heard(digest, timer.now());
    this.#options.era.told(digest.storeEra);
    this.#options.crashes.told(digest.self.peer, digest.crashChecksum);
    this.#options.notices.told(digest.self.peer, digest.noticeChecksum);
    if (membership.hasUnknownAddresses) {
      void this.#fetchAddresses(digest.self.peer);
    }
    if (digest.configurationVersion <= configuration.version) {
      this.#behindSince = undefined;
      return;
    }
    this.#behindSince ??= timer.now();
    const isLate = timer.now() - this.#behindSince >= BEHIND_MILLISECONDS ||
      configuration.table === undefined;
    if (isLate) void this.#fetchConfiguration(digest.self.peer);
  }

  /**
   * A daemon that the store turns away gets configurations from its peers; it
   * would go on with revoked keys and old routes otherwise.
   */
  #fetchConfiguration(peer: string): Promise<void> {
    const { peers, configuration, log } = this.#options;
    return this.#fetch("configuration", peer, async () => {
      const found = await peers.configuration(peer);
      if (found === null || !configuration.applyIfNewer(found)) return;
      log.info("configuration in force", {
        version: found.version,
        source: `daemon ${peer}`,
      });
    });
  }

  #exchangeDue(): void {
    const { daemonId, membership, timer } = this.#options;
    membership.beat();
    const contacts = membership.contacts();
    if (contacts.length > MOST_DIRECT) {
      void this.#exchangeWithPartner();
      return;
    }
    const heard = new Set(
      membership.heardLately(timer.now()).map((one) => one.address.daemonId),
    );
    // One of a pair is enough while both hear each other; who hears nothing
    // asks by itself, since the other may not know of it.
    const due = contacts.filter((one) =>
      one.daemonId > daemonId || !heard.has(one.daemonId)
    );
    this.greet(due.map((one) => one.peer));
  }

  /** One exchange, with another partner when one fails. */
  async #exchangeWithPartner(): Promise<void> {
    const { membership, timer } = this.#options;
    for (let tries = 0; tries < PARTNER_TRIES; tries++) {
      const partner = this.#rounds.next({
        promising: membership.promising(timer.now()),
        contacts: membership.contacts(),
      });
      if (partner === undefined || this.#busy.has(partner.peer)) return;
      if (await this.#exchangeWith(partner.peer)) return;
    }
  }

  /** Asks a peer where the daemons are that are only heard of. */
  #fetchAddresses(peer: string): Promise<void> {
    const { peers, membership, timer } = this.#options;
    return this.#fetch("addresses", peer, async () => {
      for (const address of await peers.addresses(peer)) {
        membership.learn(address, timer.now());
      }
    });
  }

  /** Fetches one thing from one peer at a time. */
  async #fetch(
    what: "addresses" | "configuration",
    peer: string,
    load: () => Promise<void>,
  ): Promise<void> {
    if (this.#fetching.has(what)) return;
    this.#fetching.add(what);
    try {
      await load();
    } catch (error) {
      const reason = String(error);
      this.#options.log.warn(`${what} of peer not read`, { peer, reason });
    } finally {
      this.#fetching.delete(what);
    }
  }

  /** False when the peer didn't answer. */
  async #exchangeWith(peer: string): Promise<boolean> {
    this.#busy.add(peer);
    const { membership, timer } = this.#options;
    try {
      this.#take(await this.#options.peers.exchange(peer, this.#digest()));
      return true;
    } catch (error) {
      // The membership judges silence and the fleet's sweep logs it.
      membership.doubt(peer, { isRefused: isRefused(error), now: timer.now() });
      return false;
    } finally {
      this.#busy.delete(peer);
    }
  }

  #sweep(): void {
    const { membership, timer, log } = this.#options;
    const now = timer.now();
    membership.sweep(now);
    const heard = new Set(
      membership.heardLately(now).map((one) => one.address.daemonId),
    );
    for (const daemonId of heard) {
      if (!this.#heard.has(daemonId)) log.info("daemon heard", { daemonId });
    }
    for (const daemonId of this.#heard) {
      if (!heard.has(daemonId)) log.warn("daemon silent", { daemonId });
    }
    this.#heard = heard;
  }
}
