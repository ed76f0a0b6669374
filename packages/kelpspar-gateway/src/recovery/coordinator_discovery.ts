import type { TimerService } from "kelpspar-shared";
import type { DaemonAddress } from "../fleet/fleet_digest.ts";
import type { FleetMembership } from "../fleet/fleet_membership.ts";
import type { ContactState } from "./choose_coordinator_contacts.ts";
import { rankByCores } from "../fleet/rank_by_cores.ts";
import { chooseAnnouncementContacts } from "./choose_announcement_contacts.ts";
import { chooseCoordinatorContacts } from "./choose_coordinator_contacts.ts";
import { COORDINATOR_RANKING_KEY } from "./coordinator_ranking_key.ts";

/** Dependencies of a `CoordinatorDiscovery`. */
export interface CoordinatorDiscoveryOptions {
  readonly self: DaemonAddress;
  readonly membership: Pick<
    FleetMembership,
    "contacts" | "contactState" | "isStarting"
  >;
  readonly timer: TimerService;
  /** Starts exchanges with daemons; `advance` is called when one ends. */
  readonly exchange: (peers: readonly string[]) => void;
}

/**
 * Time after the start in which the coordinator is looked for. Later starts of
 * other daemons become known by their own search and by gossip.
 */
const DISCOVERY_MILLISECONDS = 3_000;
/** Exchanges at a time: the best ranked daemon and two spares. */
const CONCURRENT_CONTACTS = 3;
/**
 * Exchanges in total. Calls to daemons that are down cost about half a
 * millisecond of processor time each.
 */
const MAXIMUM_CONTACTS = 32;
/**
 * A contact that hasn't answered after this is no longer waited for, though it
 * may still answer. A VM that is down doesn't refuse a connection, so that the
 * search would wait for three of them until the connection times out.
 */
const SLOW_CONTACT_MILLISECONDS = 60;
/** How often a coordinator asks better ranked daemons that were starting. */
const RECHECK_INTERVAL_MILLISECONDS = 100;

/** Looks for the coordinator when this daemon starts. */
export class CoordinatorDiscovery {
  readonly #options: CoordinatorDiscoveryOptions;
  readonly #startedAt: number;
  /** When each daemon was contacted; monotonic milliseconds. */
  readonly #contacted = new Map<string, number>();
  /** Names of the daemons that `#ranked` was computed from. */
  #rankedNames = "";
  #recheckedAt = Number.NEGATIVE_INFINITY;
  #ranked: readonly string[] = [];

  constructor(options: CoordinatorDiscoveryOptions) {
    this.#options = options;
    this.#startedAt = options.timer.now();
  }

  /** Contacts the next daemons; to be called when their state has changed. */
  advance(): void {
    const { exchange, membership, timer } = this.#options;
    if (this.ageMilliseconds > DISCOVERY_MILLISECONDS) return;
    const addresses = new Map(
      membership.contacts().map((address) => [address.daemonId, address]),
    );
    const peers: string[] = [];
    for (const id of this.#nextContacts([...addresses.values()])) {
      if (this.#contacted.size >= MAXIMUM_CONTACTS) break;
      const address = addresses.get(id);
      if (address === undefined || this.#contacted.has(id)) continue;
      this.#contacted.set(id, timer.now());
      peers.push(address.peer);
    }
    if (peers.length === 0) return;
    exchange(peers);
    timer.registerTimeout(() => this.advance(), SLOW_CONTACT_MILLISECONDS);
  }

  /** Daemons contacted so far. */
  get contactCount(): number {
    return this.#contacted.size;
  }

  /** Time since the start, milliseconds. */
  get ageMilliseconds(): number {
    return this.#options.timer.now() - this.#startedAt;
  }

  /** True while a better ranked daemon may still answer. */
  get isPending(): boolean {
    const { membership } = this.#options;
    return this.ageMilliseconds <= DISCOVERY_MILLISECONDS &&
      this.#contacted.size < MAXIMUM_CONTACTS &&
      this.#nextContacts(membership.contacts()).length > 0;
  }

  /**
   * Asks the best ranked daemon that was starting when it was heard; to be
   * called while this daemon acts as the coordinator. When a store comes back,
   * all daemons get their configuration within some ten milliseconds, and each
   * would act as the coordinator until the next gossip round.
   */
  recheck(): void {
    const { self, membership, exchange, timer } = this.#options;
    const now = timer.now();
    if (now - this.#recheckedAt < RECHECK_INTERVAL_MILLISECONDS) return;
    this.#recheckedAt = now;
    const contacts = membership.contacts();
    this.#rank(contacts);
    const better = this.#ranked.slice(0, this.#ranked.indexOf(self.daemonId));
    const starting = better.find((id) => membership.isStarting(id));
    const address = contacts.find(({ daemonId }) => daemonId === starting);
    if (address !== undefined) exchange([address.peer]);
  }

  /**
   * Contacts the daemons that must know at once that this one can run stages,
   * and learns which of them can.
   */
  announce(): void {
    const { self, membership, exchange, timer } = this.#options;
    const contacts = membership.contacts();
    this.#rank(contacts);
    const now = timer.now();
    const ids = chooseAnnouncementContacts({
      ranked: this.#ranked,
      selfId: self.daemonId,
      stateOf: (id) => membership.contactState(id, now),
      isStarting: (id) => membership.isStarting(id),
    });
    exchange(
      contacts.filter(({ daemonId }) => ids.includes(daemonId))
        .map(({ peer }) => peer),
    );
  }

  #nextContacts(contacts: readonly DaemonAddress[]): readonly string[] {
    const { self } = this.#options;
    this.#rank(contacts);
    return chooseCoordinatorContacts({
      ranked: this.#ranked,
      selfId: self.daemonId,
      stateOf: (id) => this.#stateOf(id),
      maximum: CONCURRENT_CONTACTS,
    });
  }

  #stateOf(id: string): ContactState {
    const { membership, timer } = this.#options;
    const now = timer.now();
    const state = membership.contactState(id, now);
    const contactedAt = this.#contacted.get(id) ?? now;
    const isSlow = now - contactedAt >= SLOW_CONTACT_MILLISECONDS;
    return state === "unknown" && isSlow ? "unable" : state;
  }

  #rank(contacts: readonly DaemonAddress[]): void {
    const names = contacts.map(({ daemonId }) => daemonId).join();
    if (names === this.#rankedNames) return;
    const { self } = this.#options;
    this.#rankedNames = names;
    this.#ranked = rankByCores(COORDINATOR_RANKING_KEY, [self, ...contacts]);
  }
}
