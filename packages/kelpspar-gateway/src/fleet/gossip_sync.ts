import type { RandomSource } from "kelpspar-shared";
import type { GatewayLog } from "../log/gateway_log.ts";
import type { FleetMembership } from "./fleet_membership.ts";

/** State that is replicated to all daemons. */
export interface GossipState<Page> {
  /** 0 while the state is empty; equal for daemons with equal state. */
  readonly checksum: number;
  /** The whole state. */
  page(): Page;
  /** Merges the state of another daemon. */
  merge(page: Page): void;
}

/** Dependencies of a `GossipSync`. */
export interface GossipSyncOptions<Page> {
  /** Name of the state in log messages. */
  readonly name: string;
  readonly gossipState: GossipState<Page>;
  /** Sends a page to a peer; returns the peer's page. */
  readonly share: (peer: string, page: Page) => Promise<Page>;
  readonly membership: Pick<FleetMembership, "contacts">;
  readonly random: RandomSource;
  readonly log: GatewayLog;
}

/**
 * Replicates state to all daemons by gossip. Changes reach a fleet of hundreds
 * within a few hops; the checksums in digests repair lost messages
 * (anti-entropy).
 */
export class GossipSync<Page> {
  readonly #options: GossipSyncOptions<Page>;
  readonly #activePeers = new Set<string>();
  /** Peers to share with again once their current call has ended. */
  readonly #repeatPeers = new Set<string>();

  constructor(options: GossipSyncOptions<Page>) {
    this.#options = options;
  }

  /** Checksum for digests; undefined while the state is empty. */
  get checksum(): number | undefined {
    const { checksum } = this.#options.gossipState;
    return checksum === 0 ? undefined : checksum;
  }

  /** Handles another daemon's checksum: shares the state if it differs. */
  told(peer: string, checksum: number | undefined): void {
    if (checksum !== this.checksum) void this.#share(peer);
  }

  /** Merges another daemon's page and returns the whole local state. */
  answer(page: Page): Page {
    const { gossipState } = this.#options;
    gossipState.merge(page);
    return gossipState.page();
  }

  /** Shares the state with up to `maximum` random daemons. */
  shareWithSome(maximum: number): void {
    const { membership, random } = this.#options;
    const contacts = [...membership.contacts()];
    for (let told = 0; told < maximum && contacts.length > 0; told++) {
      const [contact] = contacts.splice(random.nextInteger(contacts.length), 1);
      if (contact !== undefined) void this.#share(contact.peer);
    }
  }

  async #share(peer: string): Promise<void> {
    if (this.#activePeers.has(peer)) {
      this.#repeatPeers.add(peer);
      return;
    }
    this.#activePeers.add(peer);
    const { name, gossipState, share, log } = this.#options;
    try {
      gossipState.merge(await share(peer, gossipState.page()));
    } catch (error) {
      log.warn(`failed to share ${name}`, { peer, reason: String(error) });
    } finally {
      this.#activePeers.delete(peer);
    }
    if (this.#repeatPeers.delete(peer)) await this.#share(peer);
  }
}
