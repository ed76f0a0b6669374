import type { CrashPage } from "kelpspar-decisions/quarantine";
import type { RandomSource } from "kelpspar-shared";
import type { FleetMembership } from "../fleet/fleet_membership.ts";
import type { PeerClient } from "../fleet/peer_client.ts";
import type { GatewayLog } from "../log/gateway_log.ts";
import type { Quarantine, QuarantineSource } from "./quarantine.ts";

/**
 * Daemons that are told at once, by the source of the news. Reports spread like
 * a rumor: in a fleet of hundreds all know within a few hops, and the checksums
 * in digests repair what was lost.
 */
const PEERS_TOLD: Readonly<Record<QuarantineSource, number>> = {
  own: 8,
  daemon: 2,
  store: 0,
  age: 0,
};

/** What a sync works with. */
export interface QuarantineSyncOptions {
  readonly quarantine: Quarantine;
  readonly peers: Pick<PeerClient, "shareCrashes">;
  readonly membership: Pick<FleetMembership, "contacts">;
  readonly random: RandomSource;
  readonly log: GatewayLog;
}

/** Keeps all daemons at the same knowledge of crashes. */
export class QuarantineSync {
  readonly #options: QuarantineSyncOptions;
  readonly #busy = new Set<string>();
  /** Peers that have to be told again once their call has ended. */
  readonly #again = new Set<string>();

  constructor(options: QuarantineSyncOptions) {
    this.#options = options;
  }

  /** Tells others of news; returns the teardown. */
  register(): () => void {
    return this.#options.quarantine.registerListener((source) =>
      this.#tell(PEERS_TOLD[source])
    );
  }

  /** For digests; undefined while nothing is known. */
  get checksum(): number | undefined {
    const { checksum } = this.#options.quarantine;
    return checksum === 0 ? undefined : checksum;
  }

  /** Takes in the checksum of another daemon. */
  told(peer: string, checksum: number | undefined): void {
    if (checksum !== this.checksum) void this.#share(peer);
  }

  /** Answers another daemon's reports with all that is known here. */
  answer(page: CrashPage): CrashPage {
    const { quarantine } = this.#options;
    quarantine.take(page, "daemon");
    return quarantine.page();
  }

  #tell(most: number): void {
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
    const { quarantine, peers, log } = this.#options;
    try {
      const answer = await peers.shareCrashes(peer, quarantine.page());
      quarantine.take(answer, "daemon");
    } catch (error) {
      log.warn("crashes not shared", { peer, reason: String(error) });
    } finally {
      this.#busy.delete(peer);
    }
    if (this.#again.delete(peer)) await this.#share(peer);
  }
}
