import type { CrashPage } from "kelpspar-decisions/quarantine";
import type { RandomSource } from "kelpspar-shared";
import type { FleetMembership } from "../fleet/fleet_membership.ts";
import type { PeerClient } from "../fleet/peer_client.ts";
import type { GatewayLog } from "../log/gateway_log.ts";
import type { Quarantine, QuarantineSource } from "./quarantine.ts";
import { GossipSync } from "../fleet/gossip_sync.ts";

/** Daemons that are told at once, by the source of the news. */
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
export class QuarantineSync extends GossipSync<CrashPage> {
  readonly #quarantine: Quarantine;

  constructor(options: QuarantineSyncOptions) {
    const { quarantine, peers } = options;
    super({
      ...options,
      name: "crashes",
      gossipState: {
        get checksum() {
          return quarantine.checksum;
        },
        page: () => quarantine.page(),
        merge: (page) => void quarantine.take(page, "daemon"),
      },
      share: (peer, page) => peers.shareCrashes(peer, page),
    });
    this.#quarantine = quarantine;
  }

  /** Tells others of news; returns the teardown. */
  register(): () => void {
    return this.#quarantine.registerListener((source) =>
      this.shareWithSome(PEERS_TOLD[source])
    );
  }
}
