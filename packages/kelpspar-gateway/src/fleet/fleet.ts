import type { TimerService } from "kelpspar-shared";
import type { ConfigurationKeeper } from "../configuration/configuration_keeper.ts";
import type { GatewayLog } from "../log/gateway_log.ts";
import type { FleetDigest } from "./fleet_digest.ts";
import type { FleetMembership } from "./fleet_membership.ts";
import type { PeerClient } from "./peer_client.ts";
import { isRefused } from "./is_refused.ts";

/** How often digests are exchanged, milliseconds. */
const EXCHANGE_MILLISECONDS = 400;
/**
 * Up to so many daemons each pair exchanges every time; beyond it each daemon
 * picks so many in turn, so that its traffic doesn't grow with the fleet.
 */
const MOST_EXCHANGES = 8;
/**
 * A configuration that a peer has had for so long is fetched from it, ms. The
 * store tells all daemons within milliseconds as a rule.
 */
const BEHIND_MILLISECONDS = 350;
/** How often beliefs are looked over, milliseconds. */
const SWEEP_MILLISECONDS = 200;

/** What a fleet works with. */
export interface FleetOptions {
  readonly daemonId: string;
  readonly membership: FleetMembership;
  readonly peers: PeerClient;
  readonly configuration: ConfigurationKeeper;
  readonly timer: TimerService;
  readonly log: GatewayLog;
  readonly storeAge: () => number;
}

/** Keeps this daemon and the others in each other's sight. */
export class Fleet {
  readonly #options: FleetOptions;
  #isLeaving = false;
  #turn = 0;
  readonly #busy = new Set<string>();
  #isFetching = false;
  #heard = new Set<string>();
  /** Since when another daemon has had a newer configuration. */
  readonly #behindSince = new Map<string, number>();

  constructor(options: FleetOptions) {
    this.#options = options;
  }

  get isLeaving(): boolean {
    return this.#isLeaving;
  }

  /** Tells the others at once that this daemon takes no more callers. */
  leave(): void {
    this.#isLeaving = true;
    this.#exchangeAll(
      this.#options.membership.contacts().map((one) => one.peer),
    );
  }

  /** Begins to exchange digests; returns the teardown. */
  register(): () => void {
    const { timer } = this.#options;
    const teardowns = [
      timer.registerInterval(() => this.#exchangeDue(), EXCHANGE_MILLISECONDS),
      timer.registerInterval(() => this.#sweep(), SWEEP_MILLISECONDS),
    ];
    return () => teardowns.forEach((teardown) => teardown());
  }

  /** Exchanges with addresses of which nothing is known yet. */
  greet(peers: readonly string[]): void {
    this.#exchangeAll(peers);
  }

  /** Answers another daemon's digest with this one's. */
  exchange(digest: FleetDigest): FleetDigest {
    this.#take(digest);
    return this.#digest();
  }

  #digest(): FleetDigest {
    const { membership, configuration, storeAge, timer } = this.#options;
    return membership.createDigest({
      isLeaving: this.#isLeaving,
      isReady: configuration.table !== undefined,
      configurationVersion: configuration.version,
      storeAgeMilliseconds: Math.round(storeAge()),
    }, timer.now());
  }

  #take(digest: FleetDigest): void {
    const { membership, timer, configuration } = this.#options;
    membership.heard(digest, timer.now());
    if (digest.configurationVersion <= configuration.version) {
      this.#behindSince.delete(digest.daemonId);
      return;
    }
    const since = this.#behindSince.get(digest.daemonId) ?? timer.now();
    this.#behindSince.set(digest.daemonId, since);
    const isLate = timer.now() - since >= BEHIND_MILLISECONDS ||
      configuration.table === undefined;
    if (isLate) void this.#fetchConfiguration(digest.peer);
  }

  /**
   * A daemon that the store turns away gets configurations from its peers; it
   * would go on with revoked keys and old routes otherwise.
   */
  async #fetchConfiguration(peer: string): Promise<void> {
    if (this.#isFetching) return;
    this.#isFetching = true;
    const { peers, configuration, log } = this.#options;
    try {
      const found = await peers.configuration(peer);
      if (found !== null && configuration.offer(found)) {
        log.info("configuration in force", {
          version: found.version,
          source: `daemon ${peer}`,
        });
      }
    } catch (error) {
      log.warn("configuration of peer not read", {
        peer,
        reason: String(error),
      });
    } finally {
      this.#isFetching = false;
    }
  }

  #exchangeDue(): void {
    const { daemonId, membership, timer } = this.#options;
    const heard = new Set(
      membership.heardLately(timer.now()).map((one) => one.daemonId),
    );
    // One of a pair is enough while both hear each other; who hears nothing
    // asks by itself, since the other may not know of it.
    const due = membership.contacts().filter((one) =>
      one.daemonId > daemonId || !heard.has(one.daemonId)
    );
    const count = Math.min(due.length, MOST_EXCHANGES);
    const picked = Array.from(
      { length: count },
      (_, index) => due[(this.#turn + index) % due.length]?.peer ?? "",
    );
    this.#turn += count;
    this.#exchangeAll(picked);
  }

  #exchangeAll(peers: readonly string[]): void {
    for (const peer of new Set(peers)) {
      if (!this.#busy.has(peer)) void this.#exchangeWith(peer);
    }
  }

  async #exchangeWith(peer: string): Promise<void> {
    this.#busy.add(peer);
    const { membership, timer } = this.#options;
    try {
      this.#take(await this.#options.peers.exchange(peer, this.#digest()));
    } catch (error) {
      // The membership judges silence and the fleet's sweep logs it.
      membership.doubt(peer, { isRefused: isRefused(error), now: timer.now() });
    } finally {
      this.#busy.delete(peer);
    }
  }

  #sweep(): void {
    const { membership, timer, log } = this.#options;
    const now = timer.now();
    membership.sweep(now);
    const heard = new Set(
      membership.heardLately(now).map((one) => one.daemonId),
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
