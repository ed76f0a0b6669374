import type { RandomSource, TimerService } from "kelpspar-shared";
import type { ActiveConfiguration } from "../configuration/active_configuration.ts";
import type { NoticeSync } from "../endpoints/notice_sync.ts";
import type { SlowReportExchange } from "../load/slow_report_exchange.ts";
import type { SpeedSync } from "../load/speed_sync.ts";
import type { GatewayLog } from "../log/gateway_log.ts";
import type { QuarantineSync } from "../quarantine/quarantine_sync.ts";
import type { StoreEra } from "../tables/store_era.ts";
import type { DaemonAddress, FleetDigest } from "./fleet_digest.ts";
import type { FleetMembership } from "./fleet_membership.ts";
import type { OwnState } from "./member_record.ts";
import type { PeerClient } from "./peer_client.ts";
import { isConnectionRefused } from "./is_connection_refused.ts";
import { CoordinatorDiscovery } from "../recovery/coordinator_discovery.ts";
import { isPeerTimeout } from "./peer_timeout_error.ts";
import { GossipPartners } from "./gossip_partners.ts";

export const EXCHANGE_INTERVAL_MILLISECONDS = 400;
/**
 * With up to this many peers, each pair exchanges in each interval. In larger
 * fleets each daemon starts one exchange per interval: heartbeats reach all
 * daemons in about log2 of the fleet's size rounds, while a daemon's traffic
 * doesn't grow with the fleet.
 */
const FULL_MESH_PEERS = 8;
/**
 * Partners tried in one round. When many daemons die at once, rounds wasted on
 * them would leave live daemons without an exchange.
 */
const MAXIMUM_PARTNER_ATTEMPTS = 3;
/**
 * How often a daemon that knows no other contacts its seeds again: they may have
 * started later, and the store may be unavailable.
 */
const SEED_INTERVAL_MILLISECONDS = 2_000;
/**
 * A newer configuration is fetched from a peer after this time. Normally the
 * store delivers it to all daemons within milliseconds.
 */
const CONFIGURATION_LAG_MILLISECONDS = 350;
/**
 * Age of the store data from which a daemon's endpoint list counts as stale.
 */
const STORE_STALE_MILLISECONDS = 3_500;

/** Dependencies of `FleetGossip`. */
export interface FleetGossipOptions {
  readonly self: DaemonAddress;
  /** Addresses of a few other daemons, possibly stale. */
  readonly seeds: readonly string[];
  readonly membership: FleetMembership;
  readonly peers: PeerClient;
  readonly configuration: ActiveConfiguration;
  readonly era: StoreEra;
  readonly crashes: Pick<QuarantineSync, "checksum" | "told">;
  readonly notices: Pick<NoticeSync, "checksum" | "told">;
  readonly speeds: Pick<SpeedSync, "checksum" | "told">;
  readonly slowReports: Pick<SlowReportExchange, "page" | "merge">;
  readonly timer: TimerService;
  readonly log: GatewayLog;
  readonly random: RandomSource;
  readonly storeAge: () => number;
  /** True while this daemon reads the tables for the first time. */
  readonly isReadingTables: () => boolean;
  /** True while this daemon reaches no endpoint. */
  readonly isIsolated: () => boolean;
  /** True from the stop signal on. */
  readonly isLeaving: () => boolean;
}

/** Exchanges digests with other daemons to maintain the fleet membership. */
export class FleetGossip {
  readonly #options: FleetGossipOptions;
  readonly #partners: GossipPartners;
  readonly #discovery: CoordinatorDiscovery;
  #hasAnnouncedReady = false;
  #seedsContactedAt = Number.NEGATIVE_INFINITY;
  /** Peers with an exchange in progress. */
  readonly #exchanging = new Set<string>();
  /** Kinds of data that are being fetched from a peer. */
  readonly #fetching = new Set<string>();
  #liveIds = new Set<string>();
  /** When a peer's newer configuration was first seen. */
  #behindSince: number | undefined;

  constructor(options: FleetGossipOptions) {
    this.#options = options;
    this.#partners = new GossipPartners({
      daemonId: options.self.daemonId,
      random: options.random,
    });
    this.#discovery = new CoordinatorDiscovery({
      ...options,
      exchange: (peers) => this.exchangeWithAll(peers),
    });
  }

  /** Tells other daemons at once that this daemon's state has changed. */
  announceState(): void {
    const { membership } = this.#options;
    // A heartbeat of the same sequence with another state would be ignored.
    membership.advanceHeartbeat();
    this.exchangeWithSome(membership.contacts().map(({ peer }) => peer));
  }

  /** Starts the periodic exchanges; returns the teardown. */
  register(): () => void {
    const { timer } = this.#options;
    return timer.registerInterval(() => {
      this.#sweep();
      this.#startDueExchanges();
    }, EXCHANGE_INTERVAL_MILLISECONDS);
  }

  /**
   * Exchanges now with daemons that are new or whose liveness is in question.
   */
  exchangeWithAll(peers: readonly string[]): void {
    for (const peer of new Set(peers)) {
      if (!this.#exchanging.has(peer)) void this.#exchangeWith(peer);
    }
  }

  /**
   * Exchanges now with all of `peers` in a small fleet and with about
   * `FULL_MESH_PEERS` random ones in a large fleet; gossip informs the others.
   * If a daemon that starts exchanged with each of 72 others, and each of them
   * with it, this would take longer than its start, and most of the daemons'
   * time during a rolling restart.
   */
  exchangeWithSome(peers: readonly string[]): void {
    const { membership, random } = this.#options;
    const share = FULL_MESH_PEERS / Math.max(1, membership.contacts().length);
    this.exchangeWithAll(peers.filter(() => random.next() < share));
  }

  /** Looks for the coordinator among new addresses; see `isDiscovering`. */
  discoverCoordinator(): void {
    this.#discovery.advance();
  }

  /** True after the start while a better coordinator may still be found. */
  get isDiscovering(): boolean {
    return this.#discovery.isPending;
  }

  /** Looks for a better coordinator while this daemon acts as one. */
  recheckCoordinator(): void {
    this.#discovery.recheck();
  }

  /** Daemons contacted in search of the coordinator since the start. */
  get discoveryContacts(): number {
    return this.#discovery.contactCount;
  }

  /** Announces once that this daemon can run stages. */
  announceIfReady(): void {
    const { isReady, isStoreFresh } = this.ownState;
    if (this.#hasAnnouncedReady || !isReady || !isStoreFresh) return;
    this.#hasAnnouncedReady = true;
    // A heartbeat of the same sequence with another state would be ignored.
    this.#options.membership.advanceHeartbeat();
    this.#discovery.announce();
    const { log } = this.#options;
    log.info("able to run stages", {
      startedMillisecondsAgo: Math.round(this.#discovery.ageMilliseconds),
      discoveryContacts: this.discoveryContacts,
    });
  }

  /** Contacts the seeds, unless that was done a moment ago. */
  contactSeeds(): void {
    const { seeds, self, timer } = this.#options;
    const now = timer.now();
    if (now - this.#seedsContactedAt < SEED_INTERVAL_MILLISECONDS) return;
    this.#seedsContactedAt = now;
    this.exchangeWithAll(seeds.filter((peer) => peer !== self.peer));
  }

  /** Applies another daemon's digest and returns this daemon's. */
  exchange(digest: FleetDigest): FleetDigest {
    this.#applyDigest(digest);
    return this.#createDigest(digest);
  }

  /** State that this daemon reports about itself. */
  get ownState(): OwnState {
    const { configuration, storeAge, isIsolated, isLeaving } = this.#options;
    return {
      isLeaving: isLeaving(),
      isReady: configuration.table !== undefined,
      isStoreFresh: storeAge() < STORE_STALE_MILLISECONDS,
      isIsolated: isIsolated(),
    };
  }

  #createDigest(asker?: FleetDigest): FleetDigest {
    const { membership, configuration, era, crashes, notices, speeds, timer } =
      this.#options;
    return membership.createDigest(this.ownState, {
      configurationVersion: configuration.version,
      storeEra: era.current,
      crashChecksum: crashes.checksum,
      noticeChecksum: notices.checksum,
      speedChecksum: speeds.checksum,
      slowEndpoints: this.#options.slowReports.page(),
      ...(asker === undefined ? {} : { asker }),
      now: timer.now(),
    });
  }

  #applyDigest(digest: FleetDigest): void {
    const { membership, timer, configuration } = this.#options;
    membership.applyDigest(digest, timer.now());
    this.#options.era.told(digest.storeEra);
    this.#options.crashes.told(digest.self.peer, digest.crashChecksum);
    this.#options.notices.told(digest.self.peer, digest.noticeChecksum);
    this.#options.speeds.told(digest.self.peer, digest.speedChecksum);
    this.#options.slowReports.merge(digest.slowEndpoints);
    if (membership.hasUnknownAddresses) {
      void this.#fetchAddresses(digest.self.peer);
    }
    if (digest.configurationVersion <= configuration.version) {
      this.#behindSince = undefined;
      return;
    }
    this.#behindSince ??= timer.now();
    const isLate =
      timer.now() - this.#behindSince >= CONFIGURATION_LAG_MILLISECONDS ||
      configuration.table === undefined;
    if (isLate && !this.#options.isReadingTables()) {
      void this.#fetchConfiguration(digest.self.peer);
    }
  }

  /**
   * A daemon that can't reach the store fetches configurations from its peers;
   * otherwise it would keep using revoked keys and old routes.
   */
  #fetchConfiguration(peer: string): Promise<void> {
    const { peers, configuration, log } = this.#options;
    return this.#fetchOnce("configuration", peer, async () => {
      const fetched = await peers.configuration(peer);
      if (fetched === null || !configuration.applyIfNewer(fetched)) return;
      log.info("configuration in force", {
        version: fetched.version,
        source: `daemon ${peer}`,
      });
    });
  }

  #startDueExchanges(): void {
    const { self, membership, timer } = this.#options;
    membership.advanceHeartbeat();
    const contacts = membership.contacts();
    if (contacts.length === 0) this.contactSeeds();
    if (contacts.length > FULL_MESH_PEERS) {
      void this.#exchangeWithPartner();
      return;
    }
    const liveIds = new Set(
      membership.liveMembers(timer.now()).map((member) =>
        member.address.daemonId
      ),
    );
    // While both daemons of a pair are live to each other, the one with the
    // lower name starts the exchange. Otherwise this daemon starts it, because
    // the other may not know of it.
    const due = contacts.filter((contact) =>
      contact.daemonId > self.daemonId || !liveIds.has(contact.daemonId)
    );
    this.exchangeWithAll(due.map((contact) => contact.peer));
  }

  /** Exchanges with one partner; tries another one if the exchange fails. */
  async #exchangeWithPartner(): Promise<void> {
    const { membership, timer } = this.#options;
    for (let attempt = 0; attempt < MAXIMUM_PARTNER_ATTEMPTS; attempt++) {
      const partner = this.#partners.next({
        likelyReachable: membership.likelyReachable(timer.now()),
        contacts: membership.contacts(),
      });
      if (partner === undefined || this.#exchanging.has(partner.peer)) return;
      if (await this.#exchangeWith(partner.peer)) return;
    }
  }

  /** Fetches the addresses of daemons that are known by heartbeat only. */
  #fetchAddresses(peer: string): Promise<void> {
    const { peers, membership, timer } = this.#options;
    return this.#fetchOnce("addresses", peer, async () => {
      for (const address of await peers.addresses(peer)) {
        membership.add(address, timer.now());
      }
      this.#discovery.advance();
    });
  }

  /** Fetches data of a kind, unless a fetch of that kind is in progress. */
  async #fetchOnce(
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
      this.#options.log.warn(`failed to fetch ${what} from peer`, {
        peer,
        reason,
      });
    } finally {
      this.#fetching.delete(what);
    }
  }

  /** Returns false if the peer didn't answer. */
  async #exchangeWith(peer: string): Promise<boolean> {
    this.#exchanging.add(peer);
    const { membership, timer } = this.#options;
    const startedAt = timer.now();
    try {
      this.#applyDigest(
        await this.#options.peers.exchange(peer, this.#createDigest()),
      );
      return true;
    } catch (error) {
      // The membership detects silent daemons, and `#sweep` logs them.
      // A peer that didn't answer may have started since and been heard.
      membership.reportFailedCall(peer, {
        isRefused: isConnectionRefused(error),
        now: isPeerTimeout(error) ? startedAt : timer.now(),
      });
      return false;
    } finally {
      this.#exchanging.delete(peer);
      this.#discovery.advance();
    }
  }

  #sweep(): void {
    const { membership, timer, log } = this.#options;
    const now = timer.now();
    membership.removeExpired(now);
    const liveIds = new Set(
      membership.liveMembers(now).map((member) => member.address.daemonId),
    );
    for (const daemonId of liveIds) {
      if (!this.#liveIds.has(daemonId)) log.info("daemon heard", { daemonId });
    }
    for (const daemonId of this.#liveIds) {
      if (!liveIds.has(daemonId)) log.warn("daemon silent", { daemonId });
    }
    this.#liveIds = liveIds;
  }
}
