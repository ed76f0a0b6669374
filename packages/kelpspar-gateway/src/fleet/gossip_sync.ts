import type { RandomSource } from "kelpspar-shared";
import type { GatewayLog } from "../log/gateway_log.ts";
import type { FleetMembership } from "./fleet_membership.ts";

/** Something that all daemons are to know alike. */
export interface SharedKnowledge<Page> {
  /** 0 while nothing is known; equal for daemons that know the same. */
  readonly checksum: number;
  /** All that is known. */
  page(): Page;
  /** Takes in what another daemon knows. */
  take(page: Page): void;
}

/** What a sync works with. */
export interface KnowledgeSyncOptions<Page> {
  /** Names the knowledge in the log. */
  readonly name: string;
  readonly knowledge: SharedKnowledge<Page>;
  /** Gives a peer a page; answers with the peer's. */
  readonly share: (peer: string, page: Page) => Promise<Page>;
  readonly membership: Pick<FleetMembership, "contacts">;
  readonly random: RandomSource;
  readonly log: GatewayLog;
}

/**
 * Keeps all daemons at the same knowledge. News spreads like a rumor: in a
 * fleet of hundreds all know within a few hops, and the checksums in digests
 * repair what was lost.
 */
export class KnowledgeSync<Page> {
  readonly #options: KnowledgeSyncOptions<Page>;
  readonly #busy = new Set<string>();
  /** Peers that have to be told again once their call has ended. */
  readonly #again = new Set<string>();

  constructor(options: KnowledgeSyncOptions<Page>) {
    this.#options = options;
  }

  /** For digests; undefined while nothing is known. */
  get checksum(): number | undefined {
    const { checksum } = this.#options.knowledge;
    return checksum === 0 ? undefined : checksum;
  }

  /** Takes in the checksum of another daemon. */
  told(peer: string, checksum: number | undefined): void {
    if (checksum !== this.checksum) void this.#share(peer);
  }

  /** Answers another daemon's page with all that is known here. */
  answer(page: Page): Page {
    const { knowledge } = this.#options;
    knowledge.take(page);
    return knowledge.page();
  }

  /** Tells up to `most` daemons, drawn by chance, of news. */
  tellSome(most: number): void {
    const { membership, random } = this.#options;
    const contacts = [...membership.contacts()];
    for (let told = 0; told < most && contacts.length > 0; told++) {
      const [one] = contacts.splice(random.nextInteger(contacts.length), 1);
      if (one !== undefined) void this.#share(one.peer);
    }
  }

  async #share(peer: string): Promise<void> {
    if (this.#busy.has(peer)) {
      this.#again.add(peer);
      return;
    }
    this.#busy.add(peer);
    const { name, knowledge, share, log } = this.#options;
    try {
      knowledge.take(await share(peer, knowledge.page()));
    } catch (error) {
      log.warn(`${name} not shared`, { peer, reason: String(error) });
    } finally {
      this.#busy.delete(peer);
    }
    if (this.#again.delete(peer)) await this.#share(peer);
  }
}
