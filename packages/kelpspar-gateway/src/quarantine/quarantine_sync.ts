import type { CrashPage } from "kelpspar-decisions/quarantine";
import type { RandomSource } from "kelpspar-shared";
import type { FleetMembership } from "../fleet/fleet_membership.ts";
import type { PeerClient } from "../fleet/peer_client.ts";
import type { GatewayLog } from "../log/gateway_log.ts";
import type { Quarantine, QuarantineSource } from "./quarantine.ts";
import { GossipSync } from "../fleet/gossip_sync.ts";

/** Peers that are notified immediately, by the source of the change. */
const PEERS_NOTIFIED: Readonly<Record<QuarantineSource, number>> = {
  own: 8,
  daemon: 2,
  store: 0,
  age: 0,
  grace: 0,
  answer: 2,
  operator: 8,
};

/** Options of `QuarantineSync`. */
export interface QuarantineSyncOptions {
  readonly quarantine: Quarantine;
  readonly peers: Pick<PeerClient, "shareCrashes">;
  readonly membership: Pick<FleetMembership, "contacts">;
  readonly random: RandomSource;
  readonly log: GatewayLog;
}

/** Synchronizes crash reports among all daemons. */
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
        merge: (page) => void quarantine.merge(page, "daemon"),
      },
      share: (peer, page) => peers.shareCrashes(peer, page),
    });
    this.#quarantine = quarantine;
  }

  /** Starts notifying peers of changes; returns the teardown. */
  register(): () => void {
    return this.#quarantine.registerListener((source) =>
      this.shareWithSome(PEERS_NOTIFIED[source])
    );
  }
}
